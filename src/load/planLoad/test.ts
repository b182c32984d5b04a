import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { composeAnswer } from '../../emulator/composeAnswer/index.js'
import { DEFAULT_LOAD_PLAN, planLoad, type LoadPlanOptions, type PlannedRequest, type RequestKind } from './index.js'

type PlannedChat = Extract<PlannedRequest, { readonly kind: 'chat' | 'overnight' }>

const plan = (changes: Partial<LoadPlanOptions> = {}, seed = 1): readonly PlannedRequest[] =>
  [...planLoad({ ...DEFAULT_LOAD_PLAN, rate: 200, ...changes }, createSeededRandom(seed))]

const only = (kind: RequestKind): LoadPlanOptions['mix'] => ({ chat: 0, overnight: 0, lookup: 0, order: 0, [kind]: 1 })

const isChat = (request: PlannedRequest): request is PlannedChat => request.kind === 'chat'

const countBy = (values: readonly (string | number)[]): ReadonlyMap<string | number, number> =>
  values.reduce((counts, value) => counts.set(value, (counts.get(value) ?? 0) + 1), new Map<string | number, number>())

describe('planLoad', () => {
  it('makes the same plan for the same seed and another one for another seed', () => {
    expect(plan()).toEqual(plan())
    expect(plan()).not.toEqual(plan({}, 2))
  })

  it('plans requests in the order of time, within the duration, at about the rate', () => {
    const times = plan({ durationMs: 20_000 }).map(({ atMs }) => atMs)
    expect(times).toEqual([...times].sort((left, right) => left - right))
    expect(times.at(-1)).toBeLessThan(20_000)
    expect(times.length).toBeGreaterThan(3700)
    expect(times.length).toBeLessThan(4300)
  })

  it('ends after the maximum number of requests', () => {
    expect(plan({ maximumRequests: 7 })).toHaveLength(7)
  })

  it.each([[{ durationMs: 0 }], [{ maximumRequests: 0 }]])('plans nothing for %j', (changes) => {
    expect(plan(changes)).toEqual([])
  })

  it('mixes the kinds by their weights', () => {
    const kinds = countBy(plan({ durationMs: 50_000, mix: { chat: 60, overnight: 0, lookup: 30, order: 10 } }).map(({ kind }) => kind))
    expect(kinds.get('overnight')).toBeUndefined()
    expect(kinds.get('chat')! / kinds.get('order')!).toBeGreaterThan(4.5)
    expect(kinds.get('chat')! / kinds.get('order')!).toBeLessThan(7.5)
  })

  it('needs at least one kind with a weight above 0', () => {
    expect(() => plan({ mix: { chat: 0, overnight: 0, lookup: 0, order: 0 } })).toThrow(/weight/)
  })

  it('assigns most of a skewed load to the first client account', () => {
    const counts = countBy(plan({ accounts: 5, accountSkew: 1, mix: only('lookup') }).map(({ account }) => account))
    expect([...counts.keys()].sort()).toEqual([0, 1, 2, 3, 4])
    expect(counts.get(0)! / counts.get(4)!).toBeGreaterThan(3)
  })

  it('continues a chat with its complete history, including the answers of the emulated model engine', () => {
    const turns = plan().filter(isChat)
    const second = turns.find(({ turn }) => turn === 2)!
    const first = turns.find(({ chatId, turn }) => chatId === second.chatId && turn === 1)!
    const answer = { role: 'assistant', content: composeAnswer(first.messages, first.maximumTokens).text }
    expect(second.messages.slice(0, -1)).toEqual([...first.messages, answer])
    expect([second.account, second.atMs > first.atMs]).toEqual([first.account, true])
  })

  it('plans each turn of a chat once, and ends the chat after its maximum of turns', () => {
    const turns = plan({ mix: only('chat'), maximumTurns: 3, meanThinkTimeMs: 100 }).filter(isChat)
    expect(Math.max(...turns.map(({ turn }) => turn))).toBe(3)
    const keys = turns.map(({ chatId, turn }) => `${chatId} ${turn}`)
    expect(new Set(keys).size).toBe(keys.length)
  })

  it('continues no chat before the assumed end of its last answer', () => {
    const turns = plan({ mix: only('chat'), meanThinkTimeMs: 1, answerTimePerTokenMs: 10 }).filter(isChat)
    const early = turns.filter(({ chatId, turn, atMs }) => {
      const before = turns.find((other) => other.chatId === chatId && other.turn === turn - 1)
      return before !== undefined && atMs < before.atMs + 10 * before.maximumTokens
    })
    expect(early).toEqual([])
  })

  it('opens a new chat for each request when no chat returns', () => {
    expect(plan({ returningShare: 0 }).filter(isChat).every(({ turn }) => turn === 1)).toBe(true)
  })

  it('gives each order its own idempotency key', () => {
    const keys = plan({ mix: only('order') }).map((request) => request.kind === 'order' ? request.idempotencyKey : '')
    expect(new Set(keys).size).toBe(keys.length)
  })
})
