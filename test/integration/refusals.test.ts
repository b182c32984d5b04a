/**
 * Tests refusals and answers under all faults of backend servers and links against the
 * journals of the services: a request that was refused as not run did not run, and each
 * answer belongs to its request.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import type { LinkFault } from '../_lib/createFaultProxy.js'
import { findLedgerProblems, findOrderProblems, sendLookup, sendOrder } from '../_lib/sendOrder.js'
import type { OrderResult } from '../_lib/sendOrder.js'
import { startFleet } from '../_lib/startFleet.js'
import type { Fleet } from '../_lib/startFleet.js'
import { waitFor } from '../_lib/waitFor.js'

const ORDERS = 6
const LOOKUPS = 6

type Case = { readonly name: string, readonly service?: Readonly<Record<string, unknown>>, readonly link?: LinkFault, readonly platformLink?: LinkFault }

const cases: readonly Case[] = [
  { name: 'refused connections', service: { fault: 'refuseConnections', on: true } },
  { name: 'a flapping server', service: { fault: 'flapping', on: true, ms: 30 } },
  { name: 'a reset after the request was read', service: { fault: 'resetAfterRead', count: 4 } },
  { name: 'crossed answers', service: { fault: 'crossedAnswer', count: 4 } },
  { name: 'late answers', service: { fault: 'lateAnswer', on: true, ms: 300 } },
  { name: 'answers cut before the first byte', service: { fault: 'cutAnswer', count: 4, after: 0 } },
  { name: 'answers cut in the middle', service: { fault: 'cutAnswer', count: 4, after: 1 } },
  { name: 'truncated answers', service: { fault: 'truncateAnswer', count: 4, after: 1 } },
  { name: 'a server that leaves', service: { fault: 'leaving', on: true } },
  { name: 'an overloaded server', service: { fault: 'overloaded', count: 6 } },
  { name: 'a link that refuses', link: { kind: 'refuse' } },
  { name: 'a link that cuts requests short', link: { kind: 'cutAfter', direction: 'toServer', bytes: 120 } },
  { name: 'a link that cuts answers short', link: { kind: 'cutAfter', direction: 'toClient', bytes: 120 } },
  { name: 'a slow link', link: { kind: 'delay', ms: 100 } },
  { name: 'a platform that is down', platformLink: { kind: 'refuse' } },
  { name: 'a platform whose replies are cut', platformLink: { kind: 'cutAfter', direction: 'toClient', bytes: 60 } },
  { name: 'a server and the platform failing at once', service: { fault: 'resetAfterRead', count: 4 }, platformLink: { kind: 'refuse' } }
]

const clearFaults = async (fleet: Fleet): Promise<void> => {
  for (const service of fleet.services) {
    await service.clearFaults()
    service.link.setFault({ kind: 'none' })
  }
  for (const { platformLink } of fleet.routers) platformLink.setFault({ kind: 'none' })
}

const injectFaults = async (fleet: Fleet, { service, link, platformLink }: Case): Promise<void> => {
  for (const backend of fleet.services) {
    if (service !== undefined) await backend.setFault(service)
    if (link !== undefined) backend.link.setFault(link)
  }
  if (platformLink !== undefined) for (const router of fleet.routers) router.platformLink.setFault(platformLink)
}

const sendOrdersAndLookups = async (fleet: Fleet): Promise<readonly OrderResult[]> => {
  const callerAt = (index: number): string => fleet.routers[index % fleet.routers.length]!.caller
  const orders = Array.from({ length: ORDERS }, (_, index) => sendOrder(callerAt(index), `order-${index}`))
  const lookups = Array.from({ length: LOOKUPS }, (_, index) => sendLookup(callerAt(index), `stock-${index}`))
  return await Promise.all([...orders, ...lookups])
}

const hasNoOpenRequests = async (fleet: Fleet): Promise<boolean> => {
  const statuses = await Promise.all(fleet.routers.map((router) => router.readStatus()))
  return statuses.every(({ ledger }) => ledger.open === 0)
}

// Each case starts its own fleet, since a server that was ejected in one case would hide the faults of the next.
describe('refusals and answers under faults', () => {
  let fleet: Fleet
  beforeEach(async () => { fleet = await startFleet({ routers: 1, services: 2, serviceFlags: ['--delay', '20'] }) })
  afterEach(async () => { await fleet.stop() })

  it.each(cases)('match the journals under $name', async (entry) => {
    await injectFaults(fleet, entry)
    const ends = await sendOrdersAndLookups(fleet)
    await clearFaults(fleet)
    await waitFor('all requests to end', () => hasNoOpenRequests(fleet))
    expect(findOrderProblems(ends, await fleet.readJournals())).toEqual([])
    expect(await findLedgerProblems(fleet.routers)).toEqual([])
    expect(ends.filter(({ end }) => end.kind === 'cut')).toEqual([])
  })
})
