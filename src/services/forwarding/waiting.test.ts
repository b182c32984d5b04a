/**
 * Replays of load that a service cannot serve in full, on one node with servers that queue without
 * order when they are full. Each has its measure with and without the queue of the node.
 */
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { ACCOUNTS, CAPACITY, isAnswered, isInTarget, ROUTES, SERVERS, SLOTS, startLoadedNode, type Call, type CallOptions } from '../../../test/_lib/startLoadedNode.js'

const SEED = 49

const playBoth = async <Value>(play: (node: ReturnType<typeof startLoadedNode>) => Promise<Value>): Promise<readonly [withQueue: Value, without: Value]> =>
  [await play(startLoadedNode(true)), await play(startLoadedNode(false))]

describe('load beyond capacity', () => {
  // Servers without order would make short urgent requests wait behind the long ones.
  test('keeps urgent requests in time in a burst of three times of the longest kind', async () => {
    const [[urgent, goodput], [urgentWithout]] = await playBoth(async (node) => {
      node.load('quick', 0.3, 8_000)
      node.clock.advance(1_000)
      node.load('long', 3, 6_000)
      await node.clock.advanceAndSettle(12_000)
      return [node.share(({ route }) => route === 'quick', isInTarget), node.readGoodput(8_000)]
    })
    expect(urgent).toBeGreaterThan(0.95)
    expect(goodput).toBeGreaterThan(0.75)
    expect(urgentWithout).toBeLessThan(0.8)
  })

  // Requests that are sent when they can't be answered in time any more take the slots of those that could.
  test('serves what it accepts in time in a burst of three times', async () => {
    const [withQueue, without] = await playBoth(async (node) => {
      node.load('quick', 3, 3_000)
      await node.clock.advanceAndSettle(5_000)
      return { goodput: node.readGoodput(3_000), refusedAfterMs: node.calls.filter(({ reason }) => reason === 'deadlineBeforeSend').length }
    })
    expect(withQueue.goodput).toBeGreaterThan(0.9)
    expect(withQueue.refusedAfterMs).toBe(0)
    expect(without.goodput).toBeLessThan(0.8)
  })

  // One account that sends ten times its usual would take the slots of the others.
  test('keeps the other accounts served while one sends ten times its usual', async () => {
    const [calm, calmWithout] = await playBoth(async (node) => {
      for (const account of ACCOUNTS.slice(1)) node.load('quick', 0.15, 3_000, () => ({ account }))
      node.load('quick', 1.5, 3_000, () => ({ account: 'busy' }))
      await node.clock.advanceAndSettle(5_000)
      return node.share(({ account }) => account !== 'busy', isInTarget)
    })
    expect(calm).toBeGreaterThan(0.95)
    expect(calmWithout).toBeLessThan(0.8)
  })

  // Callers that repeat at once would be served more often than those that wait as they were told.
  test('serves callers that wait for their Retry-After as well as those that repeat at once three times', async () => {
    const [[patient, impatient]] = await playBoth(async (node) => {
      let callers = 0
      const served = { patient: [0, 0], impatient: [0, 0] }
      const start = (): CallOptions => {
        const kind = callers++ % 3 === 0 ? 'impatient' : 'patient'
        const target = `caller-${callers}`
        served[kind][1]! += 1
        let repeats = 0
        const again = (refused: Call): void => {
          if (repeats++ >= (kind === 'patient' ? 1 : 3)) return
          node.clock.setTimer(kind === 'patient' ? refused.retryAfterMs ?? 0 : 1, () => { follow(node.call('quick', { target, onRefused: again })) })
        }
        const follow = (made: Call): void => { node.clock.setTimer(1_500, () => { if (isAnswered(made)) served[kind][0]! += 1 }) }
        node.clock.setTimer(0, () => { const first = node.calls.findLast(({ at }) => at === node.clock.now()); if (first !== undefined) follow(first) })
        return { target, onRefused: again }
      }
      node.load('quick', 1.5, 3_000, start)
      await node.clock.advanceAndSettle(7_000)
      return [served.patient[0]! / served.patient[1]!, served.impatient[0]! / served.impatient[1]!] as const
    })
    expect(patient).toBeGreaterThan(0.6)
    expect(patient).toBeGreaterThan(impatient)
  })

  // The places and slots of callers that left would be served for nobody.
  test('keeps urgent requests in time and sends nothing late while half of the callers leave', async () => {
    const [withQueue, without] = await playBoth(async (node) => {
      let callers = 0
      node.load('quick', 0.3, 3_000)
      node.load('long', 4, 3_000, () => callers++ % 2 === 0 ? { leavesAfterMs: 300 } : {})
      await node.clock.advanceAndSettle(8_000)
      return { urgent: node.share(({ route }) => route === 'quick', isInTarget), problems: node.problems, open: node.forwarding.openRequests() }
    })
    expect(withQueue).toMatchObject({ problems: [], open: 0 })
    expect(withQueue.urgent).toBeGreaterThan(0.95)
    expect(without.urgent).toBeLessThan(0.8)
  })

  test('keeps urgent requests in time while a quarter of the servers goes in a burst', async () => {
    const [urgent, urgentWithout] = await playBoth(async (node) => {
      node.load('quick', 0.4, 6_000)
      node.load('long', 1.5, 6_000)
      node.clock.advance(2_000)
      node.removeServers(3)
      await node.clock.advanceAndSettle(10_000)
      return node.share(({ route }) => route === 'quick', isInTarget)
    })
    expect(urgent).toBeGreaterThan(0.95)
    expect(urgentWithout).toBeLessThan(0.8)
  })
})

describe('a request that waits', () => {
  const fill = (node: ReturnType<typeof startLoadedNode>): void => {
    for (let index = 0; index < CAPACITY; index++) node.call('long', { account: 'c' })
  }

  test.each([
    ['its key is revoked', { accountsByKey: new Map() }, 'unknownKey'],
    ['its route is removed', { routes: ROUTES.filter(({ name }) => name !== 'quick') }, 'unknownRoute']
  ])('is refused without a send when %s', async (_name, changes, reason) => {
    const node = startLoadedNode(true)
    fill(node)
    const made = node.call('quick')
    await node.clock.advanceAndSettle(10)
    node.changeConfiguration(changes)
    await node.clock.advanceAndSettle(100)
    expect([made.reason, made.sends]).toEqual([reason, 0])
  })

  test('is refused when the node shuts down and its answer would be late', async () => {
    const node = startLoadedNode(true)
    fill(node)
    const made = node.call('quick')
    node.forwarding.beginShutdown(node.clock.now() + 300)
    await node.clock.advanceAndSettle(100)
    expect([made.reason, made.sends]).toEqual(['shuttingDown', 0])
  })

  // Cut off at its deadline an order may have run, and its caller could not be told that it has not.
  test('is not sent as an order when it could not end in time', async () => {
    const node = startLoadedNode(true)
    fill(node)
    const made = node.call('order')
    await node.clock.advanceAndSettle(599)
    expect([made.reason, made.sends]).toEqual(['waitTooLong', 0])
  })

  test('does not wait when it resumes a stream', () => {
    const node = startLoadedNode(true)
    fill(node)
    expect(node.call('quick', { lastEventId: 3 }).sends).toBe(1)
  })

  test('does not wait where the settings do not ask for it', () => {
    const node = startLoadedNode(false)
    fill(node)
    expect(node.call('quick').sends).toBe(1)
  })
})

const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('call' as const), route: fc.constantFrom('quick', 'long', 'order'), account: fc.constantFrom(...ACCOUNTS), count: fc.integer({ min: 1, max: 12 }), leavesAfterMs: fc.option(fc.nat({ max: 600 }), { nil: undefined, freq: 4 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('pause' as const), ms: fc.nat({ max: 400 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('servers' as const), left: fc.nat({ max: SERVERS }) }) }
)

test('loses no request, answers none twice, sends none too late and gets every ticket back', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), async (steps) => {
    const node = startLoadedNode(true)
    for (const current of steps) {
      if (current.kind === 'call') for (let index = 0; index < current.count; index++) node.call(current.route, current)
      if (current.kind === 'pause') await node.clock.advanceAndSettle(current.ms)
      if (current.kind === 'servers') node.removeServers(current.left)
    }
    await node.clock.advanceAndSettle(8_000)
    expect(node.problems).toEqual([])
    expect(node.calls.filter(({ finals, leftAt }) => finals !== (leftAt === undefined ? 1 : 0))).toEqual([])
    expect([node.forwarding.openRequests(), node.inFlight()]).toEqual([0, 0])
    // With a ticket lost, the node would count its slots as in use.
    node.removeServers(1)
    for (let index = 0; index < SLOTS; index++) expect(node.call('quick').sends).toBe(1)
  }), { seed: SEED, numRuns: 60 })
})
