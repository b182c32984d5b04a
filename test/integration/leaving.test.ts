/** Tests backend servers and routers that leave: they get no new requests, and requests in flight complete. */
import { afterEach, describe, expect, it } from 'vitest'
import { findOrderProblems, sendLookup, sendOrder } from '../_lib/sendOrder.js'
import type { OrderResult } from '../_lib/sendOrder.js'
import { startFleet } from '../_lib/startFleet.js'
import type { Fleet } from '../_lib/startFleet.js'
import { waitFor } from '../_lib/waitFor.js'

/** Delays answers enough that requests are in flight when a server starts to leave. */
const SERVICE_FLAGS = ['--delay', '2000']
const LEAVING_SERVER = 'ordering-1'

const callerAt = (fleet: Fleet, index: number): string => fleet.routers[index % fleet.routers.length]!.caller

const sendLookups = (fleet: Fleet, count: number, prefix: string): Promise<readonly OrderResult[]> =>
  Promise.all(Array.from({ length: count }, (_, index) => sendLookup(callerAt(fleet, index), `${prefix}-${index}`)))

const countRuns = async (fleet: Fleet): Promise<number> => (await fleet.services[0]!.readJournal()).length

const isLeavingEverywhere = async (fleet: Fleet): Promise<boolean> => {
  const statuses = await Promise.all(fleet.routers.map((router) => router.readStatus()))
  return statuses.every(({ backendServers }) => backendServers.some(({ backendServer, state }) => backendServer === LEAVING_SERVER && state === 'leaving'))
}

const countAnswered = (ends: readonly OrderResult[]): number => ends.filter(({ end }) => end.kind === 'answered' && end.status === 200).length

const sources: readonly { readonly name: string, readonly announce: (fleet: Fleet) => Promise<void> }[] = [
  { name: 'its own load report', announce: (fleet) => fleet.services[0]!.setFault({ fault: 'leaving', on: true }) },
  {
    name: "the platform's list",
    announce: async (fleet) => {
      const { server } = fleet.services[0]!
      await fleet.platform.setVms([{ name: server.name, kind: 'backendServer', address: server.url, availabilityZone: server.availabilityZone, state: 'leaving' }])
    }
  },
  {
    name: 'a planned stop',
    announce: (fleet) => fleet.changeSheet((sheet) => ({ ...sheet, plannedStops: [{ name: 'firmware', backendServer: LEAVING_SERVER, startsAt: Date.now() - 1_000 }] }))
  }
]

describe('a process that leaves', () => {
  let fleet: Fleet | undefined
  afterEach(async () => {
    await fleet?.stop()
    fleet = undefined
  })

  it.each(sources)('as a backend server, gets no new requests and completes those in flight, reported by $name', async ({ announce }) => {
    fleet = await startFleet({ routers: 2, services: 2, serviceFlags: SERVICE_FLAGS })
    const inFlight = sendLookups(fleet, 8, 'before')
    await waitFor('a request to reach the server that will leave', async () => await countRuns(fleet!) > 0)
    await announce(fleet)
    await waitFor('the leaving mark at every router', () => isLeavingEverywhere(fleet!))
    const runs = await countRuns(fleet)
    const after = await sendLookups(fleet, 10, 'after')
    expect(countAnswered(await inFlight)).toBe(8)
    expect(countAnswered(after)).toBe(10)
    expect(await countRuns(fleet)).toBe(runs)
  })

  // Orders in flight through a router that is replaced would lose their answers.
  it('as a router, completes its orders in flight before it exits', async () => {
    fleet = await startFleet({ routers: 2, services: 1, serviceFlags: SERVICE_FLAGS })
    const keys = ['order-1', 'order-2', 'order-3']
    const orders = Promise.all(keys.map((key) => sendOrder(callerAt(fleet!, 0), key)))
    await waitFor('the orders to run', async () => await countRuns(fleet!) === keys.length)
    fleet.routers[0]!.process.terminate()
    const ends = await orders
    expect(ends.map(({ end }) => end.kind)).toEqual(['answered', 'answered', 'answered'])
    expect(await fleet.routers[0]!.process.whenExited).toBe(0)
    const repeats = await Promise.all(keys.map((key) => sendOrder(callerAt(fleet!, 1), key)))
    expect(repeats.map(({ end }) => end)).toEqual(ends.map(({ end }) => end))
    expect(findOrderProblems([...ends, ...repeats], await fleet.readJournals())).toEqual([])
  })
})
