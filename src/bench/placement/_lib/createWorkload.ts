/**
 * Generates returning chats: accounts of skewed size, chats of several turns with
 * pauses between them, and a system prompt per account that its chats share.
 */
import type { ChatMessage } from '../../../emulator/composeAnswer/index.js'
import type { RandomSource } from '../../../types/index.js'

export type Chat = {
  readonly chatKey: string
  readonly clientAccount: string
  readonly messages: readonly ChatMessage[]
  readonly turn: number
  readonly turns: number
}

export type Workload = {
  /** The first turn of a new chat. */
  readonly beginChat: () => Chat
  /** The next turn, given the answer to the previous one; `undefined` when the chat is over. */
  readonly continueChat: (chat: Chat, answer: string) => Chat | undefined
  /** Draws the time until the next chat begins, in milliseconds. */
  readonly drawArrival: () => number
  /** Draws the pause between two turns, in milliseconds. */
  readonly drawPause: () => number
}

const MEAN_TURNS = 6
const MAXIMUM_TURNS = 30
const SYSTEM_PROMPT_CHARACTERS = 1_600
const MINIMUM_QUESTION_CHARACTERS = 80
const ADDITIONAL_QUESTION_CHARACTERS = 240
const SHORT_PAUSE_MS = 8_000
const LONG_PAUSE_MS = 60_000
const LONG_PAUSE_SHARE = 0.2
/** Exponent of the power law of account sizes: few accounts are large. */
const ACCOUNT_SKEW = 1.1

const drawExponential = (random: RandomSource, mean: number): number => -Math.log(1 - random.next()) * mean

const createAccountDraw = (random: RandomSource, accounts: number): () => number => {
  const weights = Array.from({ length: accounts }, (_, index) => 1 / (index + 1) ** ACCOUNT_SKEW)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return () => {
    let left = random.next() * total
    const index = weights.findIndex((weight) => {
      left -= weight
      return left < 0
    })
    return index === -1 ? accounts - 1 : index
  }
}

/**
 * Creates a workload.
 *
 * @param random - Seeded random source.
 * @param options - Number of client accounts, and new chats per second.
 * @returns The workload.
 */
export const createWorkload = (random: RandomSource, options: { readonly clientAccounts: number, readonly chatsPerSecond: number }): Workload => {
  const drawAccount = createAccountDraw(random, options.clientAccounts)
  let begun = 0

  const writeQuestion = (chatKey: string, turn: number): ChatMessage => {
    const length = MINIMUM_QUESTION_CHARACTERS + Math.floor(random.next() * ADDITIONAL_QUESTION_CHARACTERS)
    return { role: 'user', content: `${chatKey} turn ${turn} `.padEnd(length, 'how much is left ') }
  }

  return {
    beginChat: () => {
      const clientAccount = `account-${drawAccount()}`
      const chatKey = `${clientAccount}/chat-${begun++}`
      const system = { role: 'system', content: `${clientAccount} `.padEnd(SYSTEM_PROMPT_CHARACTERS, 'answers briefly ') }
      const turns = Math.min(MAXIMUM_TURNS, 1 + Math.floor(drawExponential(random, MEAN_TURNS - 0.5)))
      return { chatKey, clientAccount, turn: 1, turns, messages: [system, writeQuestion(chatKey, 1)] }
    },
    continueChat: (chat, answer) => {
      if (chat.turn >= chat.turns) return undefined
      const turn = chat.turn + 1
      return { ...chat, turn, messages: [...chat.messages, { role: 'assistant', content: answer }, writeQuestion(chat.chatKey, turn)] }
    },
    drawArrival: () => drawExponential(random, 1000 / options.chatsPerSecond),
    drawPause: () => drawExponential(random, random.next() < LONG_PAUSE_SHARE ? LONG_PAUSE_MS : SHORT_PAUSE_MS)
  }
}
