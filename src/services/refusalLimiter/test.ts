import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { createRefusalLimiter, type RefusalLimiter, type SendDecision } from './index.js'
import { createManualClock, type ManualClock } from '../../emulator/createManualClock/index.js'
import type { BackendInstance, Member, MemberState } from '../../types/index.js'

const SETTLED_MS = 10_000
const SERVER: BackendInstance = { id: 's1', service: 'plain', address: { host: 's1', port: 1 }, availabilityZone: 'a', slots: 6, isLeaving: false, incarnation: 1, warmUpMs: 0 }
const OTHER: BackendInstance = { ...SERVER, id: 's2' }

const createMembers = (count: number, state: MemberState = 'live'): readonly Member[] =>
  Array.from({ length: count }, (_, index) => ({ nodeId: `n${index}`, incarnation: 1, address: { host: `n${index}`, port: 1 }, availabilityZone: 'a', state, generation: 1 }))

const createLimiter = (clock: ManualClock, members: readonly Member[], self: number, load: () => number, fleetNodes: number): RefusalLimiter => createRefusalLimiter({
  clock,
  logger: { info: () => {} },
  registry: { all: () => [SERVER, OTHER], onChange: () => {} },
  loadView: { estimateInFlight: load },
  membership: { members: () => members, self: () => members[self]! }
}, { countNodes: () => Math.max(members.length, fleetNodes) }).api

/** Starts the limiters of a fleet whose load counts say that servers are full. */
const start = async ({ nodes = 3, state = 'live' as MemberState, load = 6, settleMs = SETTLED_MS, fleetNodes = undefined as number | undefined } = {}) => {
  const clock = createManualClock()
  const members = createMembers(nodes, state)
  const limiters = members.map((_member, self) => createLimiter(clock, members, self, () => load, fleetNodes ?? nodes))
  await clock.advanceAndSettle(settleMs)
  return { clock, limiters, limiter: limiters[0]! }
}

const refuse = (limiter: RefusalLimiter, instance = SERVER): void => limiter.recordSend(instance)('refused')

describe('createRefusalLimiter', () => {
  test('limits nothing at a server that states no limit', async () => {
    const { limiter } = await start()
    for (let count = 0; count < 50; count++) refuse(limiter)
    expect(limiter.isLimitReached(SERVER)).toBe(false)
  })

  test('counts refusals for a second, and sends until their answer begins', async () => {
    const { limiter, clock } = await start()
    limiter.recordLimit(SERVER, 9)
    refuse(limiter)
    const decide = limiter.recordSend(SERVER)
    expect(limiter.isLimitReached(SERVER)).toBe(true)
    decide('accepted')
    expect(limiter.isLimitReached(SERVER)).toBe(false)
    refuse(limiter)
    expect(limiter.isLimitReached(SERVER)).toBe(true)
    await clock.advanceAndSettle(1_200)
    expect(limiter.isLimitReached(SERVER)).toBe(false)
  })

  // Nodes that started while their zone was cut off would take the shares of the nodes that they don't know.
  test('takes the share of a fleet of which only some members are known', async () => {
    const { limiter } = await start({ nodes: 2, fleetNodes: 6 })
    limiter.recordLimit(SERVER, 6)
    refuse(limiter)
    expect(limiter.isLimitReached(SERVER)).toBe(true)
  })

  test('counts a send that ends without an answer as one that may have been refused', async () => {
    const { limiter } = await start()
    limiter.recordLimit(SERVER, 6)
    limiter.recordSend(SERVER)('unknown')
    expect(limiter.isLimitReached(SERVER)).toBe(true)
  })

  // The limit must be kept before this node has had an answer of that server.
  test('takes the limit of another server of the service', async () => {
    const { limiter } = await start()
    limiter.recordLimit(OTHER, 6)
    refuse(limiter)
    expect(limiter.isLimitReached(SERVER)).toBe(true)
  })

  test('ends when the server states no limit any more', async () => {
    const { limiter } = await start()
    limiter.recordLimit(SERVER, 1)
    expect(limiter.isLimitReached(SERVER)).toBe(true)
    limiter.recordLimit(SERVER, undefined)
    expect(limiter.isLimitReached(SERVER)).toBe(false)
  })

  test('lets every node send one request at a time to a server with room', async () => {
    const { limiters } = await start({ nodes: 40, load: 0 })
    for (const limiter of limiters) limiter.recordLimit(SERVER, 4)
    expect(limiters.map((limiter) => limiter.isLimitReached(SERVER))).not.toContain(true)
    for (const limiter of limiters) limiter.recordSend(SERVER)
    expect(limiters.map((limiter) => limiter.isLimitReached(SERVER))).not.toContain(false)
  })

  // Load counts were wrong if a server with room refused.
  test('does not rely on load counts after a refusal', async () => {
    const { limiters, clock } = await start({ nodes: 40, load: 0 })
    for (const limiter of limiters) {
      limiter.recordLimit(SERVER, 4)
      refuse(limiter)
    }
    await clock.advanceAndSettle(1_500)
    expect(limiters.filter((limiter) => !limiter.isLimitReached(SERVER))).toHaveLength(2)
  })

  test('uses no share right after its start', async () => {
    const { limiter } = await start({ settleMs: 500 })
    limiter.recordLimit(SERVER, 50)
    expect(limiter.isLimitReached(SERVER)).toBe(true)
  })

  test.each(['dead', 'suspect'] as const)('leaves the share of a node that is %s to that node', async (state) => {
    const { limiter } = await start({ state })
    limiter.recordLimit(SERVER, 6)
    refuse(limiter)
    expect(limiter.isLimitReached(SERVER)).toBe(true)
  })

  // Guards against servers that fail because each node keeps to a limit that is meant for all of them.
  test('all nodes together cause no more refusals in a second than the server bears, in any order of sends and answers', async () => {
    const step = fc.oneof(
      { weight: 6, arbitrary: fc.record({ kind: fc.constant('send' as const), node: fc.nat(), outcome: fc.constantFrom<SendDecision[]>('accepted', 'refused', 'refused', 'unknown') }) },
      { weight: 3, arbitrary: fc.record({ kind: fc.constant('answer' as const), count: fc.integer({ min: 1, max: 10 }) }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.nat({ max: 700 }) }) }
    )
    await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 30 }), fc.integer({ min: 0, max: 40 }), fc.array(step, { maxLength: 120 }), async (nodes, limit, steps) => {
      const { clock, limiters } = await start({ nodes })
      const pending: (() => void)[] = []
      const refusedAt: number[] = []
      for (const limiter of limiters) limiter.recordLimit(SERVER, limit)
      for (const one of steps) {
        if (one.kind === 'wait') await clock.advanceAndSettle(one.ms)
        if (one.kind === 'answer') for (const answer of pending.splice(0, one.count)) answer()
        if (one.kind !== 'send') continue
        const limiter = limiters[one.node % nodes]!
        if (limiter.isLimitReached(SERVER)) continue
        const decide = limiter.recordSend(SERVER)
        pending.push(() => {
          if (one.outcome !== 'accepted') refusedAt.push(clock.now())
          decide(one.outcome)
        })
      }
      for (const answer of pending) answer()
      for (const at of refusedAt) expect(refusedAt.filter((other) => other > at - 1_000 && other <= at).length).toBeLessThanOrEqual(limit)
    }), { seed: 46, numRuns: 150 })
  })
})
