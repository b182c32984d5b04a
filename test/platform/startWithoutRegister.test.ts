/** Tests that daemons start and serve where the store answers what they need, and not what only streams that are taken up need. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { createRoute, ENGINES } from '../../platform/standIn/createPlatform/index.js'
import type { StoreCall, StoreFault } from '../../platform/standIn/createStoreServer/index.js'
import { waitFor } from '../_lib/waitFor.js'
import { CHAT, startVersionFleet, type VersionFleet } from './_lib/startVersionFleet.js'
import { beginStream, hasGoneOn, isJoined, readLastEventId, takeUpStreamPatiently } from './_lib/takeUpStreams.js'

const EVENTS = 100
const NODES = 2
const ROUTES = [CHAT, createRoute('order', { route_type: 'unsafe', max_attempts: 1, service: ENGINES }), createRoute('lookup', { service: ENGINES }), createRoute('once', { route_type: 'stream', service: ENGINES, resumable: false, max_attempts: 1, gap_target_ms: 300 })]

const closing: (() => Promise<void>)[] = []

afterEach(async () => { for (const close of closing.splice(0).reverse()) await close() })

const start = async (versions: readonly string[]): Promise<VersionFleet> => {
  const fleet = await startVersionFleet({ versions, events: EVENTS, eventMs: 20, routes: ROUTES, entry: { slots: 64 } })
  closing.push(fleet.close)
  return fleet
}

const refuseWrites = (fault: StoreFault) => ({ method }: StoreCall): StoreFault => method === 'GET' ? 'none' : fault
const holdBack = (held: string) => ({ kind }: StoreCall): StoreFault => kind === held ? 'silent' : 'none'

const FAULTS = [
  ...(['silent', 'forbidden', 'conflict', 'limited', 'busy'] as const).map((fault) => [`writes are answered "${fault}"`, refuseWrites(fault)] as const),
  ...['stream-versions', 'stream-routes', 'stream-begins'].map((kind) => [`calls for ${kind} are not answered`, holdBack(kind)] as const)
]

/** Calls each node with one request of each kind that needs no register. */
const listStatuses = async ({ nodes }: VersionFleet): Promise<readonly number[]> => {
  const calls = nodes.flatMap(({ callerAddress }) => ['/order/1', '/lookup/1', '/once/1'].map((path) => callGateway(callerAddress, { path, body: 'x', timeoutMs: 5_000, headers: promptHeaders(path) })))
  return (await Promise.all(calls)).map(({ status }) => status)
}

const ALL_SERVED = Array.from({ length: 3 * NODES }, () => 200)

describe.each(FAULTS)('while %s', (_name, fault) => {
  // "The system didn't start": after a loss of power no node was ready, though nothing but take-ups needed the register.
  test('all nodes start and serve what needs no register', async () => {
    const fleet = await start(['v1'])
    fleet.platform.store.setCallFault(fault)
    await fleet.startNodes(NODES)
    expect(await listStatuses(fleet)).toEqual(ALL_SERVED)
  })
})

describe('streams that may be resumed', () => {
  // A register that lists the version already needs no write.
  test('begin and go on after all nodes were killed while writes are refused', async () => {
    const fleet = await start(['v1'])
    await fleet.startNodes(NODES)
    const streams = fleet.nodes.map(({ callerAddress }) => beginStream(callerAddress))
    await waitFor('the streams to have events', () => streams.every(({ readBody }) => readLastEventId(readBody()) > 0))
    fleet.platform.store.setCallFault(refuseWrites('forbidden'))
    await fleet.killAll()
    await fleet.restartAll()
    const taken = await Promise.all(streams.map((stream) => takeUpStreamPatiently(fleet.nodes.map(({ callerAddress }) => callerAddress), stream)))
    expect(taken.map((one) => hasGoneOn(one, EVENTS)), fleet.describeFinds()).toEqual(streams.map(() => true))
    expect((await beginStream(fleet.nodes[0]!.callerAddress).result).isComplete).toBe(true)
  })

  // One that begins at a version which the register lacks would be taken up at another one.
  test('are refused as not run while no version can be registered, and begin once one is', async () => {
    const fleet = await start(['v1'])
    fleet.platform.store.setCallFault(refuseWrites('forbidden'))
    const [node] = await fleet.startNodes(1)
    const { status, headers } = await beginStream(node!.callerAddress).result
    expect([status, Number(headers['retry-after']) < 1]).toEqual([503, true])
    expect([...fleet.platform.backends.values()].flatMap((backend) => backend.records())).toEqual([])
    fleet.platform.store.setCallFault(undefined)
    await waitFor('a stream to begin', async () => (await beginStream(node!.callerAddress).result).isComplete)
  })

  test('begin at the registered version while servers of a second one can\'t be registered', async () => {
    const fleet = await start(['v1'])
    await fleet.startNodes(NODES)
    fleet.platform.store.setCallFault(refuseWrites('silent'))
    await fleet.addServers('v2', 2)
    await fleet.waitUntilKnown(fleet.nodes, 'v2', 2)
    const streams = Array.from({ length: 12 }, (_, index) => beginStream(fleet.nodes[index % NODES]!.callerAddress))
    await waitFor('the streams to have events', () => streams.every(({ readBody }) => readLastEventId(readBody()) > 0))
    expect(streams.filter(({ readBody }) => readBody().includes('v2'))).toEqual([])
    await fleet.killAll()
    await fleet.restartAll()
    const taken = await Promise.all(streams.map((stream) => takeUpStreamPatiently(fleet.nodes.map(({ callerAddress }) => callerAddress), stream)))
    expect([taken.filter(isJoined).length, taken.filter((one) => hasGoneOn(one, EVENTS)).length], fleet.describeFinds()).toEqual([0, streams.length])
  })
})
