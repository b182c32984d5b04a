/**
 * Plans the requests of a load run. The plan depends on its options and the
 * random source alone. It is generated lazily, so that the memory of a long run is
 * bounded by its chats.
 */
import { composeAnswer, type ChatMessage } from '../../emulator/composeAnswer/index.js'
import type { RandomSource } from '../../types/index.js'
import { createChatPool, type Chat } from './_lib/createChatPool.js'
import { createWeightedChoice, createZipfChoice } from './_lib/createChoice.js'
import { composeText, drawExponential, drawInteger } from './_lib/draw.js'

export type RequestKind = 'chat' | 'overnight' | 'lookup' | 'order'

export type PlannedRequest = {
  /** Time at which it is sent, in milliseconds from the start. */
  readonly atMs: number
  /** Index of the client account that sends it, from 0. */
  readonly account: number
} & (
  | {
    readonly kind: 'chat' | 'overnight'
    readonly chatId: string
    /** Number of the turn in its chat, from 1. */
    readonly turn: number
    readonly model: string
    readonly messages: readonly ChatMessage[]
    readonly maximumTokens: number
  }
  | { readonly kind: 'lookup', readonly path: string }
  | { readonly kind: 'order', readonly path: string, readonly idempotencyKey: string, readonly body: string }
)

export type LoadPlanOptions = {
  /** Mean number of requests per second; the times between them are exponentially distributed. */
  readonly rate: number
  readonly durationMs: number
  /** Maximum number of requests; the plan may end before its duration. */
  readonly maximumRequests: number
  readonly accounts: number
  /** Exponent of the Zipf distribution of requests over the client accounts; 0 is uniform. */
  readonly accountSkew: number
  /** Relative frequency of each kind. */
  readonly mix: Readonly<Record<RequestKind, number>>
  /** Share of chat requests that continue an earlier chat, when one is due. */
  readonly returningShare: number
  readonly meanThinkTimeMs: number
  /** Assumed duration of an answer per token, in milliseconds; the think time begins after the answer. */
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
const MAXIMUM_ORDER_PIECES = 20

/**
 * Plans the requests of an open loop, in the order of their times.
 *
 * Each further turn of a chat sends the complete history: the questions, and the
 * answers of the emulated model engine. It is due a think time after the assumed
 * end of the last answer, as a user reads the answer before the next question. Of
 * the chats that are due, the one that has been due for longest continues first.
 *
 * @param options - Rates, times and sizes; see `DEFAULT_LOAD_PLAN`.
 * @param random - Source of all random draws.
 * @returns The requests, generated lazily.
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
    const tokens = drawInteger(random, 1, 2 * options.questionTokens)
    const question = { role: 'user', content: composeText(`${chat.chatId} turn ${turn}:`, tokens) }
    const maximumTokens = drawInteger(random, 1, 2 * options.answerTokens)
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
    lookup: (atMs, account) => ({ kind: 'lookup', atMs, account, path: `${options.lookupPath}/item-${drawInteger(random, 1, STOCK_ITEMS)}` }),
    order: (atMs, account) => ({
      kind: 'order',
      atMs,
      account,
      path: options.orderPath,
      idempotencyKey: random.nextId(),
      body: JSON.stringify({ order: random.nextId(), pieces: drawInteger(random, 1, MAXIMUM_ORDER_PIECES) })
    })
  }
}
