/**
 * Tests a partitioned zone whose router reaches neither the platform nor its peers, while
 * one backend server is unreachable for all routers. The router serves with its last known
 * state and the servers that it reaches, and runs no order that needs a claim.
 */
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest'
import type { LinkFault } from '../_lib/createFaultProxy.js'
import { runOperatorCommand } from '../_lib/runOperatorCommand.js'
import { judgeChats, sendChat } from '../_lib/sendChat.js'
import { judgeLedgers, judgeOrders, sendLookup, sendOrder } from '../_lib/sendOrder.js'
import type { OrderEnd } from '../_lib/sendOrder.js'
import { startFleet } from '../_lib/startFleet.js'
import type { Fleet, FleetRouter } from '../_lib/startFleet.js'
import { waitFor } from '../_lib/waitFor.js'

/** Delays answers enough that lookups are in flight while links and sheets change. */
const SERVICE_FLAGS = ['--delay', '500']
const STOPPED = 'ordering-1'
const SAYS_THAT_IT_LEAVES = 1
const BEHIND_THE_CUT = 2
const LOOKUPS = 8

let fleet: Fleet
let near: FleetRouter
let cutOff: FleetRouter

beforeAll(async () => {
  fleet = await startFleet({ routers: 2, services: 3, engines: 1, serviceFlags: SERVICE_FLAGS })
  near = fleet.routers[0]!
  cutOff = fleet.routers[1]!
})
afterAll(async () => { await fleet.stop() })

/** Cuts both peer links, which separates the two routers, and the platform link of the cut-off one. */
const setCut = (fault: LinkFault): void => {
  for (const link of [near.peerLink, cutOff.peerLink, cutOff.platformLink]) link.setFault(fault)
}

const readState = async (router: FleetRouter, name: string): Promise<string | undefined> =>
  (await router.readStatus()).backendServers.find(({ backendServer }) => backendServer === name)?.state

const isInUse = (state: string | undefined): boolean => state === 'live' || state === 'slowStart'

const isAlone = async (router: FleetRouter): Promise<boolean> =>
  (await router.readStatus()).members.filter(({ state }) => state === 'live').length === 1

const isHealed = async (): Promise<boolean> => {
  const statuses = await Promise.all(fleet.routers.map((router) => router.readStatus()))
  const isWhole = statuses.every(({ members }) => members.filter(({ state }) => state === 'live').length === fleet.routers.length)
  return isWhole && statuses[0]!.generation === statuses[1]!.generation && statuses.every(({ ledger }) => ledger.open === 0)
}

const sendLookups = (router: FleetRouter, prefix: string): Promise<readonly OrderEnd[]> =>
  Promise.all(Array.from({ length: LOOKUPS }, (_, index) => sendLookup(router.caller, `${prefix}-${index}`)))

const describeFailures = (ends: readonly OrderEnd[]): readonly string[] =>
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
    setCut({ kind: 'none' })
    await waitFor('the cut to heal', isHealed)
  })

  // A partitioned zone would refuse lookups that it can answer, or run orders that may run in another zone.
  it.each(['blackhole', 'refuse'] as const)('answers repeatable requests and runs no order, with the link fault %s', async (kind) => {
    const { generation } = await cutOff.readStatus()
    const lost = fleet.services[BEHIND_THE_CUT]!
    for (const setFault of [setCut, lost.link.setFault]) setFault({ kind })
    const orders = await Promise.all([1, 2, 3].map((index) => sendOrder(cutOff.caller, `order-${kind}-${index}`)))
    const lookups = [...await sendLookups(cutOff, `at-once-${kind}`)]
    await waitFor('the router to know that it is alone', () => isAlone(cutOff))
    await waitFor('the lost server to be out of use', async () => !isInUse(await readState(cutOff, lost.server.name)))
    lookups.push(...await sendLookups(cutOff, `alone-${kind}`))
    const chats = await Promise.all([true, false].map((stream) => sendChat(cutOff.caller, `Is there penne, ${kind}?`, stream).whenEnded))
    orders.push(await sendOrder(cutOff.caller, `order-${kind}-4`))
    const status = await cutOff.readStatus()
    lost.link.setFault({ kind: 'none' })
    expect(describeFailures(lookups)).toEqual([])
    expect(chats.filter(({ text }) => text === undefined)).toEqual([])
    for (const { end } of orders) expect(end).toMatchObject({ kind: 'refused', outcome: 'not-run', reason: 'platformUnavailable' })
    expect(status).toMatchObject({ generation, ready: true })
    const journal = await fleet.readJournals()
    expect(journal.filter(({ idempotencyKey }) => idempotencyKey?.startsWith(`order-${kind}`))).toEqual([])
    expect([...judgeOrders([...orders, ...lookups], journal), ...judgeChats(chats, journal)]).toEqual([])
    expect(await judgeLedgers(fleet.routers)).toEqual([])
    for (const router of fleet.routers) await waitFor('the lost server to be back', async () => isInUse(await readState(router, lost.server.name)))
  })

  // A planned stop that is applied while a zone is partitioned would break requests there, or never reach it.
  it('gets a planned stop applied meanwhile once it is healed, and is listed as behind until then', async () => {
    setCut({ kind: 'blackhole' })
    const { generation } = await cutOff.readStatus()
    const before = [near, cutOff].map((router) => sendLookups(router, `before-${router.nodeId}`))
    await fleet.changeSheet((sheet) => ({ ...sheet, plannedStops: [{ name: 'firmware', backendServer: STOPPED, startsAt: Date.now() - 1_000 }] }))
    await waitFor('the planned stop at the router that reaches the platform', async () => await readState(near, STOPPED) === 'leaving')
    const ends = (await Promise.all(before)).flat()
    const attemptsNear = await countAttempts(near, STOPPED)
    ends.push(...await sendLookups(near, 'during'))
    expect(await countAttempts(near, STOPPED)).toBe(attemptsNear)
    expect(await cutOff.readStatus()).toMatchObject({ generation, backendServers: expect.arrayContaining([expect.objectContaining({ backendServer: STOPPED, state: 'live' })]) })
    const status = await runOperatorCommand(fleet, 'jana', 'sheet', 'status')
    expect(status).toMatchObject({ code: 6, stdout: expect.stringMatching(/router-2.*behind/) })
    const whileHealing = sendLookups(cutOff, 'healing')
    setCut({ kind: 'none' })
    await waitFor('the planned stop in the healed zone', async () => await readState(cutOff, STOPPED) === 'leaving')
    ends.push(...await whileHealing)
    expect((await cutOff.readStatus()).generation).toBe(generation + 1)
    const attempts = await countAttempts(cutOff, STOPPED)
    expect(Math.min(attempts, attemptsNear)).toBeGreaterThan(0)
    ends.push(...await sendLookups(cutOff, 'healed'))
    expect(await countAttempts(cutOff, STOPPED)).toBe(attempts)
    expect(describeFailures(ends)).toEqual([])
    expect(judgeOrders(ends, await fleet.readJournals())).toEqual([])
  })

  // A server that is replaced while its zone is partitioned would still get requests there.
  it('sends no new request to a server that reports itself as leaving', async () => {
    setCut({ kind: 'blackhole' })
    await waitFor('the router to know that it is alone', () => isAlone(cutOff))
    const leaving = fleet.services[SAYS_THAT_IT_LEAVES]!
    await leaving.setFault({ fault: 'leaving', on: true })
    const ends = [...await sendLookups(cutOff, 'first')]
    await waitFor('the leaving mark in the partitioned zone', async () => await readState(cutOff, leaving.server.name) === 'leaving')
    const attempts = await countAttempts(cutOff, leaving.server.name)
    ends.push(...await sendLookups(cutOff, 'next'))
    expect(await countAttempts(cutOff, leaving.server.name)).toBe(attempts)
    expect(describeFailures(ends)).toEqual([])
  })
})
