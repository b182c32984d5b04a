/** Tests requests through a gateway over the platform's stand-ins: what callers receive and what reaches backend servers. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, exchangeBytes, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { HOST, KEY, createRoute } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayFleet, type FleetOptions, type GatewayFleet } from './_lib/startGatewayFleet.js'
import { formatEvent } from '../../platform/standIn/createBackendStandIn/index.js'
import type { BackendRecord } from '../../platform/standIn/createBackendStandIn/index.js'

const fleets: GatewayFleet[] = []

const start = async (options: FleetOptions = {}): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet(options)
  fleets.push(fleet)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

const findRecords = (fleet: GatewayFleet, requestId: string): readonly BackendRecord[] =>
  [...fleet.backends.values()].flatMap((backend) => backend.records()).filter((record) => record.requestId === requestId)

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

const composeStream = (requestId: string, from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, index) => formatEvent(requestId, from + index)).join('')

describe('a non-streamed answer', () => {
  test('has the status, the body and the signature of its backend server', async () => {
    const fleet = await start()
    const result = await callGateway(fleet.callerAddress(), { path: '/lookup/1?x=2', requestId: 'r1' })
    const [record] = findRecords(fleet, 'r1')
    expect(result).toMatchObject({ status: 200, isComplete: true })
    expect(JSON.parse(result.body)).toMatchObject({ answer: 'r1' })
    expect(result.headers['x-server-stamp']).toMatch(/^stamp-plain-/)
    expect(record?.target).toBe('/lookup/1?x=2')
  })

  test('is requested from the backend server with the account and without the key', async () => {
    const fleet = await start()
    await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'two loaves', headers: { 'X-Tenant': 'forged', 'X-Hold': 'forged', 'X-Pin-Ms': '5', 'X-Other': 'kept' } })
    const [record] = findRecords(fleet, 'r1')
    expect(record?.headers['x-tenant']).toBe('pekarna')
    expect(record?.headers.authorization).toBeUndefined()
    expect(record?.headers['x-hold']).toBeUndefined()
    expect(record?.headers['x-pin-ms']).toBeUndefined()
    expect(record?.headers['x-other']).toBe('kept')
    expect(record?.body).toBe('two loaves')
  })

  test('is requested with the remaining time as deadline, limited by the route\'s timeout', async () => {
    const fleet = await start()
    await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: 'r1', timeoutMs: 60_000 })
    const remainingMs = Number(findRecords(fleet, 'r1')[0]?.headers['x-deadline-ms'])
    expect(remainingMs).toBeGreaterThan(0)
    expect(remainingMs).toBeLessThanOrEqual(2_000)
  })
})

describe('an event stream', () => {
  test('arrives complete and in order', async () => {
    const fleet = await start()
    const result = await callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'r1', body: 'hello', headers: promptHeaders() })
    expect(result).toMatchObject({ status: 200, isComplete: true, body: composeStream('r1', 1, 5) })
  })

  // The caller would receive a part of an event, or an event twice.
  test('that is cut in the middle of an event is resumed on another server', async () => {
    const fleet = await start()
    for (const backend of fleet.backends.values()) backend.setFault('cut', 1)
    fleet.backends.get('engine-2')?.setFault('none')
    const results = await Promise.all(Array.from({ length: 4 }, (_, index) =>
      callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: `r${index}`, body: 'hello', headers: promptHeaders(`s${index}`) })))
    for (const [index, result] of results.entries()) expect(result).toMatchObject({ status: 200, isComplete: true, body: composeStream(`r${index}`, 1, 5) })
    const resumed = [...fleet.backends.values()].flatMap((backend) => backend.records()).filter(({ headers }) => headers['last-event-id'] !== undefined)
    expect(resumed.map(({ headers }) => headers['last-event-id'])).toEqual(['2'])
  })

  // A retry would run the request twice, and an orderly end would hide the missing rest of the stream.
  test('that may not be resumed ends broken and is not retried', async () => {
    const fleet = await start({ engines: [{ id: 'engine-1' }] })
    fleet.backends.get('engine-1')?.setFault('cut', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/once/1', requestId: 'r1', body: 'hello', headers: promptHeaders() })
    expect(result.isComplete).toBe(false)
    expect(result.body).toBe(composeStream('r1', 1, 2))
    expect(findRecords(fleet, 'r1')).toHaveLength(1)
  })

  test('continues after the event in the caller\'s Last-Event-Id', async () => {
    const fleet = await start()
    const result = await callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'r1', body: 'hello', headers: { ...promptHeaders(), 'Last-Event-Id': '3' } })
    expect(result.body).toBe(composeStream('r1', 4, 5))
  })
})

describe('a failure of a backend server', () => {
  // A lookup would fail with the first server although a second one can answer it.
  test('of a safe request is retried on another server', async () => {
    const fleet = await start()
    for (const id of ['plain-1', 'plain-2']) fleet.backends.get(id)?.setFault('error', 1)
    fleet.backends.get('plain-2')?.setFault('none')
    const results = await Promise.all(Array.from({ length: 4 }, (_, index) => callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: `r${index}` })))
    expect(results.map(({ status }) => status)).toEqual([200, 200, 200, 200])
  })

  test('of an unsafe request is returned as the server sent it', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault('error', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result).toMatchObject({ status: 500, body: 'failed', isComplete: true })
    expect(result.headers['x-server-stamp']).toBe('stamp-plain-1')
    expect(findRecords(fleet, 'r1')).toHaveLength(1)
  })

  // Guards against an order that its caller sends again on a promise that its server did not prove.
  test.each(['unproven408', 'unproven429', 'unproven503'] as const)('that states "not run" without proof leaves the outcome unknown (%s)', async (fault) => {
    const fleet = await start()
    for (const backend of fleet.backends.values()) backend.setFault(fault)
    const order = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    const stream = await callGateway(fleet.callerAddress(), { path: '/once/1', requestId: 'r2', body: 'x', headers: promptHeaders() })
    const lookup = await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: 'r3' })
    expect([order, stream, lookup].map(({ status, headers }) => [status, headers['x-server-stamp'], headers['retry-after']])).toEqual(Array.from({ length: 3 }, () => [502, undefined, undefined]))
    expect(['r1', 'r2', 'r3'].map((id) => findRecords(fleet, id).length)).toEqual([1, 1, 2])
  })

  // An order whose answer is lost would be retried, or refused as not run although it ran.
  test('that loses the answer of an unsafe request leaves its outcome unknown', async () => {
    const fleet = await start()
    for (const backend of fleet.backends.values()) backend.setFault('reset', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(502)
    expect(findRecords(fleet, 'r1')).toHaveLength(1)
  })

  test('that refuses an unsafe request as not run lets another server run it', async () => {
    const fleet = await start()
    fleet.backends.get('plain-1')?.setFault('full', 1)
    fleet.backends.get('plain-2')?.setFault('none')
    const results = await Promise.all(Array.from({ length: 4 }, (_, index) => callGateway(fleet.callerAddress(), { path: '/order/1', requestId: `r${index}`, body: 'x' })))
    expect(results.map(({ status }) => status)).toEqual([200, 200, 200, 200])
  })

  test('of all servers by refusal is reported as not run, with Retry-After', async () => {
    const fleet = await start()
    for (const backend of fleet.backends.values()) backend.setFault('full')
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(503)
    expect(Number(result.headers['retry-after'])).toBeGreaterThan(0)
    expect(findRecords(fleet, 'r1').some(({ isRun }) => isRun)).toBe(false)
  })

  // A server that does not respond would block a safe lookup until its deadline.
  test('to respond is detected before the deadline of a safe request', async () => {
    const fleet = await start()
    fleet.backends.get('plain-1')?.setFault('dark')
    const results = await Promise.all(Array.from({ length: 4 }, (_, index) => callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: `r${index}` })))
    expect(results.map(({ status }) => status)).toEqual([200, 200, 200, 200])
  })

  test('to respond ends an unsafe request at the route\'s timeout with its outcome unknown', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }], routes: [createRoute('order', { route_type: 'unsafe', max_attempts: 1, timeout_ms: 600 })] })
    fleet.backends.get('plain-1')?.setFault('dark')
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x', timeoutMs: 5_000 })
    expect(result.status).toBe(504)
    expect(result.ms).toBeGreaterThanOrEqual(550)
  })
})

describe('an answer that does not belong to the request or is damaged', () => {
  // A caller would receive the answer to the request of another caller.
  test.each(['crossed', 'unsigned', 'encoded'] as const)('(%s) does not reach the caller', async (fault) => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault(fault, 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(502)
    expect(result.headers['x-server-stamp']).toBeUndefined()
  })

  // Bytes after the answer would be read as the answer to the next request on the connection.
  test('(extra bytes) is not given to the next request', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault('extra', 1)
    for (const requestId of ['r1', 'r2', 'r3']) {
      const result = await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId })
      expect(JSON.parse(result.body)).toMatchObject({ answer: requestId })
    }
  })

  test('(cut short) is not delivered as complete', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault('cut', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(502)
  })
})

describe('an answer without a length', () => {
  test('is complete when its connection closes normally', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault('unframed', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result).toMatchObject({ status: 200, isComplete: true })
    expect(JSON.parse(result.body)).toMatchObject({ answer: 'r1' })
  })

  // A reset connection would be read as the end of the answer, and a part delivered as complete.
  test.each(['unframedReset', 'unframedResetAtOnce'] as const)('is not complete when its connection is reset (%s)', async (fault) => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault(fault, 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(502)
  })
})

describe('a backend server whose address another server has taken over', () => {
  test('has none of its requests run there, and is not tried again', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }, { id: 'plain-2' }] })
    fleet.backends.get('plain-1')?.rename('other')
    for (let index = 0; index < 6; index++) expect((await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: `r${index}`, body: 'x' })).status).toBe(200)
    expect(fleet.backends.get('plain-1')?.records().length).toBeLessThanOrEqual(1)
    expect(fleet.backends.get('plain-1')?.records().some(({ isRun }) => isRun)).toBe(false)
  })
})

describe('a caller that disconnects', () => {
  // A server would go on working for a caller that has disconnected.
  test('has its backend server\'s connection closed', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1', workMs: 1_500 }] })
    const leaving = new AbortController()
    const call = callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x', signal: leaving.signal })
    await pause(150)
    leaving.abort()
    await call
    await pause(200)
    expect(findRecords(fleet, 'r1')[0]?.abandonedAfterMs).toBeLessThan(1_000)
  })
})

describe('a request that is refused', () => {
  test.each([
    ['without a key', { path: '/lookup/1', key: undefined }, 401],
    ['with an unknown key', { path: '/lookup/1', key: 'wrong' }, 401],
    ['on an unknown path', { path: '/nothing/1' }, 404],
    ['without an id', { path: '/lookup/1', requestId: '' }, 400],
    ['with a body over the limit', { path: '/order/1', body: 'x'.repeat(70_000) }, 413],
    ['with a head over the limit', { path: '/lookup/1', headers: { 'X-Long': 'x'.repeat(20_000) } }, 431]
  ])('%s gets the status of its cause', async (_name, call, status) => {
    const fleet = await start()
    expect((await callGateway(fleet.callerAddress(), call)).status).toBe(status)
  })

  test('on a public route needs no key', async () => {
    const fleet = await start()
    expect((await callGateway(fleet.callerAddress(), { path: '/open/1', key: undefined })).status).toBe(200)
  })

  // Ambiguous framing would let a caller smuggle one request inside another.
  test.each([
    ['a length and chunks', `POST /order/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer ${KEY}\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`],
    ['two lengths', `POST /order/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer ${KEY}\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx`],
    ['two hosts', `GET /lookup/1 HTTP/1.1\r\nHost: ${HOST}\r\nHost: other\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer ${KEY}\r\n\r\n`],
    ['a folded header', `GET /lookup/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: r1\r\nX-Fold: a\r\n b\r\nAuthorization: Bearer ${KEY}\r\n\r\n`],
    ['a space before the colon', `POST /order/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer ${KEY}\r\nContent-Length : 2\r\n\r\nxx`],
    ['a bad chunk size', `POST /order/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer ${KEY}\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nxx\r\n0\r\n\r\n`],
    ['a coding before chunked', `POST /order/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer ${KEY}\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`]
  ])('for %s reaches no backend server', async (_name, bytes) => {
    const fleet = await start()
    const answer = await exchangeBytes(fleet.callerAddress(), bytes, 700)
    expect(answer).not.toContain('HTTP/1.1 200')
    expect(findRecords(fleet, 'r1')).toHaveLength(0)
  })
})
