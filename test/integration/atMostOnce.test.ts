/**
 * Orders that may not be repeated, through real routers, with the plain
 * service's journal as judge: at most one run of each key, whatever fails.
 */
import { afterEach, describe, expect, it } from 'vitest'
import { judgeLedgers, judgeOrders, sendOrder } from '../_lib/sendOrder.js'
import type { CallerEnd, OrderEnd } from '../_lib/sendOrder.js'
import { startFleet } from '../_lib/startFleet.js'
import type { Fleet } from '../_lib/startFleet.js'
import { waitFor } from '../_lib/waitFor.js'

/** Long enough that a test can act while an order runs. */
const SERVICE_FLAGS = ['--delay', '400']

type Case = {
  readonly name: string
  /** Brings the failure about and gives what callers were told, in order. */
  readonly run: (fleet: Fleet) => Promise<readonly OrderEnd[]>
  readonly expected: readonly (Partial<Record<'kind' | 'outcome' | 'reason', string>>)[]
  /** Routers that are gone at the end. */
  readonly killed?: readonly number[]
}

const callerOf = (fleet: Fleet, router: number): string => fleet.routers[router]!.caller

const hasStarted = async (fleet: Fleet, key: string): Promise<boolean> =>
  (await fleet.readJournals()).some(({ idempotencyKey }) => idempotencyKey === key)

const whenStarted = (fleet: Fleet, key: string): Promise<boolean> => waitFor(`${key} to run`, () => hasStarted(fleet, key))

const setPlatformLinks = (fleet: Fleet, kind: 'refuse' | 'none' | 'blackhole'): void => {
  for (const { platformLink } of fleet.routers) platformLink.setFault({ kind })
}

/** Repeats an order until it is not refused as not run any more. */
const sendUntilTaken = (fleet: Fleet, router: number, key: string): Promise<OrderEnd> => waitFor(`${key} to be taken`, async () => {
  const end = await sendOrder(callerOf(fleet, router), key)
  return end.end.kind === 'refused' && end.end.outcome === 'not-run' ? undefined : end
})

const answered = { kind: 'answered' }
const unknown = { kind: 'refused', outcome: 'unknown' }
const notRun = { kind: 'refused', outcome: 'not-run' }

const cases: readonly Case[] = [
  {
    // A chef presses "order" twice; the balancer sends the two to two routers.
    name: 'runs an order once that reaches two routers at the same moment',
    run: (fleet) => Promise.all([0, 1].map((router) => sendOrder(callerOf(fleet, router), 'order-twice'))),
    expected: []
  },
  {
    name: 'gives a repeat the answer of the first run, at another router',
    run: async (fleet) => [await sendOrder(callerOf(fleet, 0), 'order-again'), await sendOrder(callerOf(fleet, 1), 'order-again')],
    expected: [answered, answered]
  },
  {
    // The router dies while the kitchen's order is being placed. The chef's
    // page sends it again through another router, which cannot know.
    name: 'does not repeat an order whose router was killed in the middle',
    run: async (fleet) => {
      const first = sendOrder(callerOf(fleet, 0), 'order-killed')
      await whenStarted(fleet, 'order-killed')
      await fleet.routers[0]!.process.kill()
      return [await first, await sendOrder(callerOf(fleet, 1), 'order-killed')]
    },
    expected: [{ kind: 'cut' }, unknown],
    killed: [0]
  },
  {
    // The router freezes with an order in its hands, another gets the repeat,
    // then the frozen one wakes and goes on.
    name: 'does not repeat an order whose router was paused, and lets it end',
    run: async (fleet) => {
      const first = sendOrder(callerOf(fleet, 0), 'order-paused')
      await whenStarted(fleet, 'order-paused')
      fleet.routers[0]!.process.pause()
      const repeat = await sendOrder(callerOf(fleet, 1), 'order-paused')
      fleet.routers[0]!.process.resume()
      return [await first, repeat]
    },
    expected: [answered, unknown]
  },
  {
    // Replies of the platform are lost after its writes took effect.
    name: 'runs orders once when replies to their claims are lost',
    run: async (fleet) => {
      await fleet.platform.setFault({ fault: 'loseReplies', count: 3 })
      const keys = ['order-lost-1', 'order-lost-2', 'order-lost-3']
      const firsts = await Promise.all(keys.map((key, index) => sendOrder(callerOf(fleet, index % 2), key)))
      const repeats = await Promise.all(keys.map((key, index) => sendUntilTaken(fleet, (index + 1) % 2, key)))
      return [...firsts, ...repeats]
    },
    expected: []
  },
  {
    // The object store is down. The order is refused as not run; when the
    // store is back, the same order goes through, once.
    name: 'refuses orders as not run in an outage and takes them after it',
    run: async (fleet) => {
      setPlatformLinks(fleet, 'refuse')
      const refused = await sendOrder(callerOf(fleet, 0), 'order-outage')
      setPlatformLinks(fleet, 'none')
      return [refused, await sendUntilTaken(fleet, 0, 'order-outage')]
    },
    expected: [notRun, answered]
  },
  {
    name: 'refuses orders as not run when the platform hangs',
    run: async (fleet) => {
      setPlatformLinks(fleet, 'blackhole')
      const refused = await sendOrder(callerOf(fleet, 0), 'order-hang')
      setPlatformLinks(fleet, 'none')
      return [refused, await sendUntilTaken(fleet, 1, 'order-hang')]
    },
    expected: [notRun, answered]
  },
  {
    // Both at once: the store goes down while an order runs, and its router
    // dies before it can record the answer.
    name: 'does not repeat an order whose router was killed in an outage',
    run: async (fleet) => {
      const first = sendOrder(callerOf(fleet, 0), 'order-both')
      await whenStarted(fleet, 'order-both')
      setPlatformLinks(fleet, 'refuse')
      await fleet.routers[0]!.process.kill()
      setPlatformLinks(fleet, 'none')
      return [await first, await sendUntilTaken(fleet, 1, 'order-both')]
    },
    expected: [{ kind: 'cut' }, unknown],
    killed: [0]
  },
  {
    name: 'runs orders once while peers cannot reach each other',
    run: async (fleet) => {
      for (const { peerLink } of fleet.routers) peerLink.setFault({ kind: 'blackhole' })
      const ends = await Promise.all([0, 1, 0, 1].map((router) => sendOrder(callerOf(fleet, router), 'order-cut')))
      for (const { peerLink } of fleet.routers) peerLink.setFault({ kind: 'none' })
      return ends
    },
    expected: []
  }
]

describe('orders that may not be repeated', () => {
  let fleet: Fleet | undefined
  afterEach(async () => {
    await fleet?.stop()
    fleet = undefined
  })

  it.each(cases)('$name', async ({ run, expected, killed = [] }) => {
    fleet = await startFleet({ routers: 2, services: 1, serviceFlags: SERVICE_FLAGS })
    const ends = await run(fleet)
    const journal = await fleet.readJournals()
    expect(judgeOrders(ends, journal)).toEqual([])
    expect(await judgeLedgers(fleet.routers.filter((_, index) => !killed.includes(index)))).toEqual([])
    const told: readonly CallerEnd[] = ends.map(({ end }) => end)
    expect(told.slice(0, expected.length)).toMatchObject(expected)
    expect(new Set(journal.map(({ idempotencyKey }) => idempotencyKey))).toEqual(new Set(ends.map(({ key }) => key)))
  })
})
