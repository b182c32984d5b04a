/**
 * Tests orders that may not be repeated, through real routers: by the plain service's
 * journal each idempotency key runs at most once, whatever fails.
 */
import { afterEach, describe, expect, it } from 'vitest'
import { findLedgerProblems, findOrderProblems, sendOrder } from '../_lib/sendOrder.js'
import type { CallerResult, OrderResult } from '../_lib/sendOrder.js'
import { startFleet } from '../_lib/startFleet.js'
import type { Fleet } from '../_lib/startFleet.js'
import { waitFor } from '../_lib/waitFor.js'

/** Delays answers enough that a test can act while an order runs. */
const SERVICE_FLAGS = ['--delay', '400']

type Case = {
  readonly name: string
  /** Causes the failure and returns the outcomes that callers received, in order. */
  readonly run: (fleet: Fleet) => Promise<readonly OrderResult[]>
  readonly expected: readonly (Partial<Record<'kind' | 'outcome' | 'reason', string>>)[]
  /** Routers that have been killed at the end. */
  readonly killed?: readonly number[]
}

const findCallerOrigin = (fleet: Fleet, router: number): string => fleet.routers[router]!.caller

const hasStarted = async (fleet: Fleet, key: string): Promise<boolean> =>
  (await fleet.readJournals()).some(({ idempotencyKey }) => idempotencyKey === key)

const whenStarted = (fleet: Fleet, key: string): Promise<boolean> => waitFor(`${key} to run`, () => hasStarted(fleet, key))

const setPlatformLinks = (fleet: Fleet, kind: 'refuse' | 'none' | 'blackhole'): void => {
  for (const { platformLink } of fleet.routers) platformLink.setFault({ kind })
}

/** Sends an order again until it is no longer refused as not run. */
const sendUntilAccepted = (fleet: Fleet, router: number, key: string): Promise<OrderResult> => waitFor(`${key} to be accepted`, async () => {
  const end = await sendOrder(findCallerOrigin(fleet, router), key)
  return end.end.kind === 'refused' && end.end.outcome === 'not-run' ? undefined : end
})

const answered = { kind: 'answered' }
const unknown = { kind: 'refused', outcome: 'unknown' }
const notRun = { kind: 'refused', outcome: 'not-run' }

const cases: readonly Case[] = [
  {
    // A caller submits an order twice, and the load balancer sends the two requests to different routers.
    name: 'runs an order once that reaches two routers at the same time',
    run: (fleet) => Promise.all([0, 1].map((router) => sendOrder(findCallerOrigin(fleet, router), 'order-twice'))),
    expected: []
  },
  {
    name: 'answers a duplicate request at another router with the answer of the first run',
    run: async (fleet) => [await sendOrder(findCallerOrigin(fleet, 0), 'order-again'), await sendOrder(findCallerOrigin(fleet, 1), 'order-again')],
    expected: [answered, answered]
  },
  {
    // The router is killed while the order runs. The caller retries through another
    // router, which can't know whether the order ran.
    name: 'does not run an order again whose router was killed while it ran',
    run: async (fleet) => {
      const first = sendOrder(findCallerOrigin(fleet, 0), 'order-killed')
      await whenStarted(fleet, 'order-killed')
      await fleet.routers[0]!.process.kill()
      return [await first, await sendOrder(findCallerOrigin(fleet, 1), 'order-killed')]
    },
    expected: [{ kind: 'cut' }, unknown],
    killed: [0]
  },
  {
    // The router freezes while an order runs, another router gets the duplicate
    // request, then the frozen router resumes.
    name: 'does not run an order again whose router was paused, and completes the first request',
    run: async (fleet) => {
      const first = sendOrder(findCallerOrigin(fleet, 0), 'order-paused')
      await whenStarted(fleet, 'order-paused')
      fleet.routers[0]!.process.pause()
      const repeat = await sendOrder(findCallerOrigin(fleet, 1), 'order-paused')
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
      const firsts = await Promise.all(keys.map((key, index) => sendOrder(findCallerOrigin(fleet, index % 2), key)))
      const repeats = await Promise.all(keys.map((key, index) => sendUntilAccepted(fleet, (index + 1) % 2, key)))
      return [...firsts, ...repeats]
    },
    expected: []
  },
  {
    // While the object store is down the order is refused as not run. After the
    // outage the same order is accepted and runs once.
    name: 'refuses orders as not run during an outage and accepts them after it',
    run: async (fleet) => {
      setPlatformLinks(fleet, 'refuse')
      const refused = await sendOrder(findCallerOrigin(fleet, 0), 'order-outage')
      setPlatformLinks(fleet, 'none')
      return [refused, await sendUntilAccepted(fleet, 0, 'order-outage')]
    },
    expected: [notRun, answered]
  },
  {
    name: 'refuses orders as not run when the platform hangs',
    run: async (fleet) => {
      setPlatformLinks(fleet, 'blackhole')
      const refused = await sendOrder(findCallerOrigin(fleet, 0), 'order-hang')
      setPlatformLinks(fleet, 'none')
      return [refused, await sendUntilAccepted(fleet, 1, 'order-hang')]
    },
    expected: [notRun, answered]
  },
  {
    // The store goes down while an order runs, and the router is killed before
    // it can store the answer.
    name: 'does not run an order again whose router was killed during an outage',
    run: async (fleet) => {
      const first = sendOrder(findCallerOrigin(fleet, 0), 'order-both')
      await whenStarted(fleet, 'order-both')
      setPlatformLinks(fleet, 'refuse')
      await fleet.routers[0]!.process.kill()
      setPlatformLinks(fleet, 'none')
      return [await first, await sendUntilAccepted(fleet, 1, 'order-both')]
    },
    expected: [{ kind: 'cut' }, unknown],
    killed: [0]
  },
  {
    name: 'runs an order once while peers cannot reach each other',
    run: async (fleet) => {
      for (const { peerLink } of fleet.routers) peerLink.setFault({ kind: 'blackhole' })
      const ends = await Promise.all([0, 1, 0, 1].map((router) => sendOrder(findCallerOrigin(fleet, router), 'order-cut')))
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
    expect(findOrderProblems(ends, journal)).toEqual([])
    expect(await findLedgerProblems(fleet.routers.filter((_, index) => !killed.includes(index)))).toEqual([])
    const callerResults: readonly CallerResult[] = ends.map(({ end }) => end)
    expect(callerResults.slice(0, expected.length)).toMatchObject(expected)
    expect(new Set(journal.map(({ idempotencyKey }) => idempotencyKey))).toEqual(new Set(ends.map(({ key }) => key)))
  })
})
