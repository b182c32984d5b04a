/** Tests answers that have neither a length nor chunks and end with their connection, directly and over a hop. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { formatEvent, type BackendFault } from '../../platform/standIn/createBackendStandIn/index.js'
import { waitFor } from '../_lib/waitFor.js'
import { startGatewayFleet, type GatewayFleet } from './_lib/startGatewayFleet.js'

const EVENTS = 6
/** More than a node buffers of an answer before it passes it on. */
const LONG_BODY_BYTES = 3 * 1024 * 1024

const fleets: GatewayFleet[] = []

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

type Way = 'directly' | 'over a hop'

const WAYS: readonly Way[] = ['directly', 'over a hop']

/** Two nodes before one server of each service; over a hop the first node reaches none of them. */
const start = async (way: Way, bodyBytes = 0): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet({ nodes: 2, hasLinks: true, engines: [{ id: 'engine-1', events: EVENTS, workMs: 20 }], plain: [{ id: 'plain-1', bodyBytes }] })
  fleets.push(fleet)
  if (way === 'directly') return fleet
  await fleet.cutFromServers(0, 'reset')
  await waitFor('the first node to use its peer', async () => {
    const { status } = await callGateway(fleet.callerAddress(0), { path: '/lookup/1' })
    return status === 200 && fleet.logs.some(({ message }) => message === 'request relayed')
  })
  return fleet
}

const stream = (fleet: GatewayFleet, fault: BackendFault, path: '/chat/1' | '/once/1'): Promise<CallResult> => {
  fleet.backends.get('engine-1')!.setFault(fault)
  return callGateway(fleet.callerAddress(0), { path, body: 'hello', requestId: 's1', headers: promptHeaders('aa') })
}

const WHOLE_STREAM = Array.from({ length: EVENTS }, (_, index) => formatEvent('s1', index + 1)).join('')

describe.each(WAYS)('an answer that ends with its connection, %s', (way) => {
  test('is whole as a stream, with a pause after its last event', async () => {
    const { status, body, isComplete } = await stream(await start(way), 'unframed', '/once/1')
    expect([status, body, isComplete]).toEqual([200, WHOLE_STREAM, true])
  })

  // The end of a connection inside an event is no end of a stream.
  test.each<BackendFault>(['unframedCut', 'unframedReset'])('is not whole as a stream that ends inside an event (%s)', async (fault) => {
    const { isComplete, body } = await stream(await start(way), fault, '/once/1')
    expect([isComplete, WHOLE_STREAM.startsWith(body)]).toEqual([false, true])
  })

  test('is whole when it is longer than a node buffers', async () => {
    const fleet = await start(way, LONG_BODY_BYTES)
    fleet.backends.get('plain-1')!.setFault('unframed', 1)
    const { status, body, isComplete } = await callGateway(fleet.callerAddress(0), { path: '/lookup/1' })
    expect([status, body.length, isComplete]).toEqual([200, LONG_BODY_BYTES, true])
  })

  test('is not whole when it is longer than a node buffers and reset before its end', async () => {
    const fleet = await start(way, LONG_BODY_BYTES)
    fleet.backends.get('plain-1')!.setFault('unframedReset')
    const { status, isComplete } = await callGateway(fleet.callerAddress(0), { path: '/lookup/1' })
    expect(status === 200 && isComplete).toBe(false)
  })
})

describe.each(WAYS)('an answer whose status is none of HTTP, %s', (way) => {
  // Guards against a status that no caller can read, and against a request that ends with it although another server would run it.
  test.each<BackendFault>(['status000', 'status600'])('is not passed on (%s)', async (fault) => {
    const fleet = await start(way)
    for (const backend of fleet.backends.values()) backend.setFault(fault)
    const results = [
      await callGateway(fleet.callerAddress(0), { path: '/lookup/1' }),
      await callGateway(fleet.callerAddress(0), { path: '/order/1', body: 'x' }),
      await callGateway(fleet.callerAddress(0), { path: '/once/1', body: 'x', headers: promptHeaders('aa') })
    ]
    expect(results.map(({ status, headers }) => [status, headers['x-server-stamp']])).toEqual(results.map(() => [502, undefined]))
  })
})
