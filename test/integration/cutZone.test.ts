/**
 * Tests a partitioned zone whose router reaches neither the platform nor its peers, while
 * one backend server is unreachable for all routers. The router serves with its last known
 * state and the servers that it reaches, and runs no order that needs a claim.
 */
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest'
import type { LinkFault } from '../_lib/createFaultProxy.js'
import { runOperatorCommand } from '../_lib/runOperatorCommand.js'
import { findChatProblems, sendChat } from '../_lib/sendChat.js'
import { findLedgerProblems, findOrderProblems, sendLookup, sendOrder } from '../_lib/sendOrder.js'
import type { OrderResult } from '../_lib/sendOrder.js'
import { startFleet } from '../_lib/startFleet.js'
import type { Fleet, FleetRouter } from '../_lib/startFleet.js'
import { waitFor } from '../_lib/waitFor.js'

/** Delays answers enough that lookups are in flight while links and sheets change. */
const SERVICE_FLAGS = ['--delay', '500']
const STOPPED_SERVER = 'ordering-1'
const LEAVING_SERVER = 1
const UNREACHABLE_SERVER = 2
const LOOKUPS = 8

let fleet: Fleet
let connectedRouter: FleetRouter
let isolatedRouter: FleetRouter

beforeAll(async () => {
  fleet = await startFleet({ routers: 2, services: 3, engines: 1, serviceFlags: SERVICE_FLAGS })
  connectedRouter = fleet.routers[0]!
  isolatedRouter = fleet.routers[1]!
})
afterAll(async () => { await fleet.stop() })

/** Sets the fault of both peer links, which separates the two routers, and of the isolated router's platform link. */
const setPartition = (fault: LinkFault): void => {
  for (const link of [connectedRouter.peerLink, isolatedRouter.peerLink, isolatedRouter.platformLink]) link.setFault(fault)
}

const readState = async (router: FleetRouter, name: string): Promise<string | undefined> =>
  (await router.readStatus()).backendServers.find(({ backendServer }) => backendServer === name)?.state

const isInUse = (state: string | undefined): boolean => state === 'live' || state === 'slowStart'

const isIsolated = async (router: FleetRouter): Promise<boolean> =>
  (await router.readStatus()).members.filter(({ state }) => state === 'live').length === 1

const isHealed = async (): Promise<boolean> => {
  const statuses = await Promise.all(fleet.routers.map((router) => router.readStatus()))
  const areAllLive = statuses.every(({ members }) => members.filter(({ state }) => state === 'live').length === fleet.routers.length)
  return areAllLive && statuses[0]!.generation === statuses[1]!.generation && statuses.every(({ ledger }) => ledger.open === 0)
}

const sendLookups = (router: FleetRouter, prefix: string): Promise<readonly OrderResult[]> =>
  Promise.all(Array.from({ length: LOOKUPS }, (_, index) => sendLookup(router.caller, `${prefix}-${index}`)))

const describeFailures = (ends: readonly OrderResult[]): readonly string[] =>
  ends.filter(({ end }) => end.kind !== 'answered' || end.status !== 200).map((end) => JSON.stringify(end))

/** Counts a router's finished attempts at a backend server, including refused ones. */
const countAttempts = async (router: FleetRouter, name: string): Promise<number> => {
  const lines = (await (await fetch(`${router.operator}/metrics`)).text()).split('\n')
  return lines
    .filter((line) => line.includes('attempts') && line.includes(`backend_server="${name}"`))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
}

describe('a zone that is cut off', () => {
  afterEach(async () => {
    setPartition({ kind: 'none' })
    await waitFor('the cut to heal', isHealed)
  })

  // A partitioned zone would refuse lookups that it can answer, or run orders that may run in another zone.
  it.each(['blackhole', 'refuse'] as const)('answers repeatable requests and runs no order, with the link fault %s', async (kind) => {
    const { generation } = await isolatedRouter.readStatus()
    const unreachable = fleet.services[UNREACHABLE_SERVER]!
    for (const setFault of [setPartition, unreachable.link.setFault]) setFault({ kind })
    const orders = await Promise.all([1, 2, 3].map((index) => sendOrder(isolatedRouter.caller, `order-${kind}-${index}`)))
    const lookups = [...await sendLookups(isolatedRouter, `at-once-${kind}`)]
    await waitFor('the isolated router to see no live peer', () => isIsolated(isolatedRouter))
    await waitFor('the unreachable server to be out of use', async () => !isInUse(await readState(isolatedRouter, unreachable.server.name)))
    lookups.push(...await sendLookups(isolatedRouter, `alone-${kind}`))
    const chats = await Promise.all([true, false].map((stream) => sendChat(isolatedRouter.caller, `Is there penne, ${kind}?`, stream).whenEnded))
    orders.push(await sendOrder(isolatedRouter.caller, `order-${kind}-4`))
    const status = await isolatedRouter.readStatus()
    unreachable.link.setFault({ kind: 'none' })
    expect(describeFailures(lookups)).toEqual([])
    expect(chats.filter(({ text }) => text === undefined)).toEqual([])
    for (const { end } of orders) expect(end).toMatchObject({ kind: 'refused', outcome: 'not-run', reason: 'platformUnavailable' })
    expect(status).toMatchObject({ generation, ready: true })
    const journal = await fleet.readJournals()
    expect(journal.filter(({ idempotencyKey }) => idempotencyKey?.startsWith(`order-${kind}`))).toEqual([])
    expect([...findOrderProblems([...orders, ...lookups], journal), ...findChatProblems(chats, journal)]).toEqual([])
    expect(await findLedgerProblems(fleet.routers)).toEqual([])
    for (const router of fleet.routers) await waitFor('the server to be in use again', async () => isInUse(await readState(router, unreachable.server.name)))
  })

  // A planned stop that is applied while a zone is partitioned would break requests there, or never reach it.
  it('gets a planned stop applied meanwhile once it is healed, and is listed as behind until then', async () => {
    setPartition({ kind: 'blackhole' })
    const { generation } = await isolatedRouter.readStatus()
    const before = [connectedRouter, isolatedRouter].map((router) => sendLookups(router, `before-${router.nodeId}`))
    await fleet.changeSheet((sheet) => ({ ...sheet, plannedStops: [{ name: 'firmware', backendServer: STOPPED_SERVER, startsAt: Date.now() - 1_000 }] }))
    await waitFor('the planned stop at the router that reaches the platform', async () => await readState(connectedRouter, STOPPED_SERVER) === 'leaving')
    const ends = (await Promise.all(before)).flat()
    const connectedAttempts = await countAttempts(connectedRouter, STOPPED_SERVER)
    ends.push(...await sendLookups(connectedRouter, 'during'))
    expect(await countAttempts(connectedRouter, STOPPED_SERVER)).toBe(connectedAttempts)
    expect(await isolatedRouter.readStatus()).toMatchObject({ generation, backendServers: expect.arrayContaining([expect.objectContaining({ backendServer: STOPPED_SERVER, state: 'live' })]) })
    const status = await runOperatorCommand(fleet, 'jana', 'sheet', 'status')
    expect(status).toMatchObject({ code: 6, stdout: expect.stringMatching(/router-2.*behind/) })
    const whileHealing = sendLookups(isolatedRouter, 'healing')
    setPartition({ kind: 'none' })
    await waitFor('the planned stop in the healed zone', async () => await readState(isolatedRouter, STOPPED_SERVER) === 'leaving')
    ends.push(...await whileHealing)
    expect((await isolatedRouter.readStatus()).generation).toBe(generation + 1)
    const attempts = await countAttempts(isolatedRouter, STOPPED_SERVER)
    expect(Math.min(attempts, connectedAttempts)).toBeGreaterThan(0)
    ends.push(...await sendLookups(isolatedRouter, 'healed'))
    expect(await countAttempts(isolatedRouter, STOPPED_SERVER)).toBe(attempts)
    expect(describeFailures(ends)).toEqual([])
    expect(findOrderProblems(ends, await fleet.readJournals())).toEqual([])
  })

  // A server that is replaced while its zone is partitioned would still get requests there.
  it('sends no new request to a server that reports itself as leaving', async () => {
    setPartition({ kind: 'blackhole' })
    await waitFor('the isolated router to see no live peer', () => isIsolated(isolatedRouter))
    const leaving = fleet.services[LEAVING_SERVER]!
    await leaving.setFault({ fault: 'leaving', on: true })
    const ends = [...await sendLookups(isolatedRouter, 'first')]
    await waitFor('the leaving mark in the partitioned zone', async () => await readState(isolatedRouter, leaving.server.name) === 'leaving')
    const attempts = await countAttempts(isolatedRouter, leaving.server.name)
    ends.push(...await sendLookups(isolatedRouter, 'next'))
    expect(await countAttempts(isolatedRouter, leaving.server.name)).toBe(attempts)
    expect(describeFailures(ends)).toEqual([])
  })
})
