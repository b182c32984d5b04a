/**
 * Plans a load: who sends what, when. The plan follows from its options and
 * the random source alone, and is made as it is read, so that a long run needs
 * no more memory than its chats.
 */
import { composeAnswer, type ChatMessage } from '../../emulator/composeAnswer/index.js'
import type { RandomSource } from '../../types/index.js'
import { createChatPool, type Chat } from './_lib/createChatPool.js'
import { createWeightedChoice, createZipfChoice } from './_lib/createChoice.js'
import { composeText, drawExponential, drawWhole } from './_lib/draw.js'

export type RequestKind = 'chat' | 'overnight' | 'lookup' | 'order'

export type PlannedRequest = {
  /** When it is sent, in milliseconds from the start. */
  readonly atMs: number
  /** Which of the client accounts sends it, from 0. */
  readonly account: number
} & (
  | {
    readonly kind: 'chat' | 'overnight'
    readonly chatId: string
    /** 1 for the opening of a chat. */
    readonly turn: number
    readonly model: string
    readonly messages: readonly ChatMessage[]
    readonly maximumTokens: number
  }
  | { readonly kind: 'lookup', readonly path: string }
  | { readonly kind: 'order', readonly path: string, readonly idempotencyKey: string, readonly body: string }
)

export type LoadPlanOptions = {
  /** Requests a second, on average; the gaps between them are exponential. */
  readonly rate: number
  readonly durationMs: number
  /** The plan ends after so many requests, also within its duration. */
  readonly maximumRequests: number
  readonly accounts: number
  /** Exponent of the Zipf law by which accounts share the load; 0 is even. */
  readonly accountSkew: number
  /** How often each kind comes, relative to the others. */
  readonly mix: Readonly<Record<RequestKind, number>>
  /** Share of chat requests that go on with an earlier chat, when one is due. */
  readonly returningShare: number
  readonly meanThinkTimeMs: number
  /** How long an answer is taken to last, for each of its tokens; the think time begins after it. */
  readonly answerTimePerTokenMs: number
  readonly maximumTurns: number
  readonly systemTokens: number
  readonly questionTokens: number
  readonly answerTokens: number
  readonly model: string
  readonly overnightModel: string
  readonly lookupPath: string
  readonly orderPath: string
}

export const DEFAULT_LOAD_PLAN: LoadPlanOptions = {
  rate: 20,
  durationMs: 30_000,
  maximumRequests: Infinity,
  accounts: 1,
  accountSkew: 1,
  mix: { chat: 80, overnight: 5, lookup: 10, order: 5 },
  returningShare: 0.8,
  meanThinkTimeMs: 3000,
  answerTimePerTokenMs: 30,
  maximumTurns: 12,
  systemTokens: 100,
  questionTokens: 40,
  answerTokens: 60,
  model: 'chat',
  overnightModel: 'overnight',
  lookupPath: '/stock',
  orderPath: '/orders'
}

const MILLISECONDS_PER_SECOND = 1000
const STOCK_ITEMS = 1000
const LARGEST_ORDER = 20

/**
 * Plans the requests of an open loop, in the order of their times.
 *
 * A chat that goes on sends its whole history: what was asked, and the answers
 * that the stand-in engine gives. It becomes due a think time after its last
 * turn was answered, by the time that an answer is taken to last: nobody goes
 * on before they have read the answer. Of the chats that are due, the one that waited longest goes on.
 *
 * @param options - Rates, times and sizes; see `DEFAULT_LOAD_PLAN`.
 * @param random - Every draw comes from here.
 * @returns The requests, made as they are read.
 *
 * @example
 * for (const request of planLoad(DEFAULT_LOAD_PLAN, createSeededRandom(1))) console.log(request.atMs)
 */
export function * planLoad (options: LoadPlanOptions, random: RandomSource): Generator<PlannedRequest> {
  const chooseKind = createWeightedChoice(Object.keys(options.mix) as RequestKind[], (kind) => options.mix[kind])
  const chooseAccount = createZipfChoice(options.accounts, options.accountSkew)
  const chats = createChatPool()
  const planners = createPlanners(options, random, chats)
  let atMs = 0
  for (let count = 0; count < options.maximumRequests; count += 1) {
    atMs += drawExponential(random, MILLISECONDS_PER_SECOND / options.rate)
    if (atMs >= options.durationMs) return
    yield planners[chooseKind(random)](atMs, chooseAccount(random))
  }
}

type Planner = (atMs: number, account: number) => PlannedRequest

const createPlanners = (options: LoadPlanOptions, random: RandomSource, chats: ReturnType<typeof createChatPool>): Readonly<Record<RequestKind, Planner>> => {
  let opened = 0

  const openChat = (account: number): Chat => {
    opened += 1
    const system = { role: 'system', content: composeText(`account ${account}:`, options.systemTokens) }
    return { chatId: `${random.nextId()}-${opened}`, account, turn: 0, messages: [system] }
  }

  const continueChat = (chat: Chat): { readonly chat: Chat, readonly maximumTokens: number } => {
    const turn = chat.turn + 1
    const tokens = drawWhole(random, 1, 2 * options.questionTokens)
    const question = { role: 'user', content: composeText(`${chat.chatId} turn ${turn}:`, tokens) }
    const maximumTokens = drawWhole(random, 1, 2 * options.answerTokens)
    return { chat: { ...chat, turn, messages: [...chat.messages, question] }, maximumTokens }
  }

  const planChat: Planner = (atMs, account) => {
    const due = random.next() < options.returningShare ? chats.takeDue(atMs) : undefined
    const { chat, maximumTokens } = continueChat(due ?? openChat(account))
    const answer = { role: 'assistant', content: composeAnswer(chat.messages, maximumTokens).text }
    const answeredAt = atMs + maximumTokens * options.answerTimePerTokenMs
    const dueAt = answeredAt + drawExponential(random, options.meanThinkTimeMs)
    if (chat.turn < options.maximumTurns) chats.add({ ...chat, messages: [...chat.messages, answer] }, dueAt)
    return { kind: 'chat', atMs, ...chat, model: options.model, maximumTokens }
  }

  return {
    chat: planChat,
    overnight: (atMs, account) => {
      const { chat, maximumTokens } = continueChat(openChat(account))
      return { kind: 'overnight', atMs, ...chat, model: options.overnightModel, maximumTokens }
    },
    lookup: (atMs, account) => ({ kind: 'lookup', atMs, account, path: `${options.lookupPath}/item-${drawWhole(random, 1, STOCK_ITEMS)}` }),
    order: (atMs, account) => ({
      kind: 'order',
      atMs,
      account,
      path: options.orderPath,
      idempotencyKey: random.nextId(),
      body: JSON.stringify({ order: random.nextId(), pieces: drawWhole(random, 1, LARGEST_ORDER) })
    })
  }
}
