/** The way of a request through a gateway over the platform's stand-ins: what callers get and what reaches backend servers. */
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

const recordsOf = (fleet: GatewayFleet, requestId: string): readonly BackendRecord[] =>
  [...fleet.backends.values()].flatMap((backend) => backend.records()).filter((record) => record.requestId === requestId)

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

const composeStream = (requestId: string, from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, index) => formatEvent(requestId, from + index)).join('')

describe('a whole answer', () => {
  test('comes back with status, body and signature of its backend server', async () => {
    const fleet = await start()
    const result = await callGateway(fleet.callerAddress(), { path: '/lookup/1?x=2', requestId: 'r1' })
    const [record] = recordsOf(fleet, 'r1')
    expect(result).toMatchObject({ status: 200, isComplete: true })
    expect(JSON.parse(result.body)).toMatchObject({ answer: 'r1' })
    expect(result.headers['x-server-stamp']).toMatch(/^stamp-plain-/)
    expect(record?.target).toBe('/lookup/1?x=2')
  })

  test('reaches the backend server with the account and without the key', async () => {
    const fleet = await start()
    await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'two loaves', headers: { 'X-Tenant': 'forged', 'X-Hold': 'forged', 'X-Pin-Ms': '5', 'X-Other': 'kept' } })
    const [record] = recordsOf(fleet, 'r1')
    expect(record?.headers['x-tenant']).toBe('pekarna')
    expect(record?.headers.authorization).toBeUndefined()
    expect(record?.headers['x-hold']).toBeUndefined()
    expect(record?.headers['x-pin-ms']).toBeUndefined()
    expect(record?.headers['x-other']).toBe('kept')
    expect(record?.body).toBe('two loaves')
  })

  test('has what is left of the deadline passed on, the route\'s timeout included', async () => {
    const fleet = await start()
    await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: 'r1', timeoutMs: 60_000 })
    const left = Number(recordsOf(fleet, 'r1')[0]?.headers['x-deadline-ms'])
    expect(left).toBeGreaterThan(0)
    expect(left).toBeLessThanOrEqual(2_000)
  })
})

describe('an event stream', () => {
  test('comes back whole and in order', async () => {
    const fleet = await start()
    const result = await callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'r1', body: 'hello', headers: promptHeaders() })
    expect(result).toMatchObject({ status: 200, isComplete: true, body: composeStream('r1', 1, 5) })
  })

  // The caller would see parts of a broken event, or an event twice.
  test('that is cut in the middle of an event goes on elsewhere', async () => {
    const fleet = await start()
    for (const backend of fleet.backends.values()) backend.setFault('cut', 1)
    fleet.backends.get('engine-2')?.setFault('none')
    const results = await Promise.all(Array.from({ length: 4 }, (_, index) =>
      callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: `r${index}`, body: 'hello', headers: promptHeaders(`s${index}`) })))
    for (const [index, result] of results.entries()) expect(result).toMatchObject({ status: 200, isComplete: true, body: composeStream(`r${index}`, 1, 5) })
    const resumed = [...fleet.backends.values()].flatMap((backend) => backend.records()).filter(({ headers }) => headers['last-event-id'] !== undefined)
    expect(resumed.map(({ headers }) => headers['last-event-id'])).toEqual(['2'])
  })

  // Sent again, a run that may not be resumed would be doubled; passed off as whole, the rest would be missing.
  test('that may not be resumed ends broken and is not sent again', async () => {
    const fleet = await start({ engines: [{ id: 'engine-1' }] })
    fleet.backends.get('engine-1')?.setFault('cut', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/once/1', requestId: 'r1', body: 'hello', headers: promptHeaders() })
    expect(result.isComplete).toBe(false)
    expect(result.body).toBe(composeStream('r1', 1, 2))
    expect(recordsOf(fleet, 'r1')).toHaveLength(1)
  })

  test('goes on after the event that the caller names', async () => {
    const fleet = await start()
    const result = await callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'r1', body: 'hello', headers: { ...promptHeaders(), 'Last-Event-Id': '3' } })
    expect(result.body).toBe(composeStream('r1', 4, 5))
  })
})

describe('a failure of a backend server', () => {
  // A lookup that could be tried at a second server would fail with the first.
  test('of a safe request is tried at another one', async () => {
    const fleet = await start()
    for (const id of ['plain-1', 'plain-2']) fleet.backends.get(id)?.setFault('error', 1)
    fleet.backends.get('plain-2')?.setFault('none')
    const results = await Promise.all(Array.from({ length: 4 }, (_, index) => callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: `r${index}` })))
    expect(results.map(({ status }) => status)).toEqual([200, 200, 200, 200])
  })

  test('of an unsafe request comes back as the server stated it', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault('error', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result).toMatchObject({ status: 500, body: 'failed', isComplete: true })
    expect(result.headers['x-server-stamp']).toBe('stamp-plain-1')
    expect(recordsOf(fleet, 'r1')).toHaveLength(1)
  })

  // An order whose answer is lost would be sent again, or called not run.
  test('that loses the answer of an unsafe request leaves its outcome unknown', async () => {
    const fleet = await start()
    for (const backend of fleet.backends.values()) backend.setFault('reset', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(502)
    expect(recordsOf(fleet, 'r1')).toHaveLength(1)
  })

  test('that refuses an unsafe request as not run lets another server run it', async () => {
    const fleet = await start()
    fleet.backends.get('plain-1')?.setFault('full', 1)
    fleet.backends.get('plain-2')?.setFault('none')
    const results = await Promise.all(Array.from({ length: 4 }, (_, index) => callGateway(fleet.callerAddress(), { path: '/order/1', requestId: `r${index}`, body: 'x' })))
    expect(results.map(({ status }) => status)).toEqual([200, 200, 200, 200])
  })

  test('of all servers by refusal is told as not run, with when to come back', async () => {
    const fleet = await start()
    for (const backend of fleet.backends.values()) backend.setFault('full')
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(503)
    expect(Number(result.headers['retry-after'])).toBeGreaterThan(0)
    expect(recordsOf(fleet, 'r1').some(({ isRun }) => isRun)).toBe(false)
  })

  // A silent server would hold a safe lookup until its deadline.
  test('by silence is found before the deadline of a safe request', async () => {
    const fleet = await start()
    fleet.backends.get('plain-1')?.setFault('dark')
    const results = await Promise.all(Array.from({ length: 4 }, (_, index) => callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: `r${index}` })))
    expect(results.map(({ status }) => status)).toEqual([200, 200, 200, 200])
  })

  test('by silence ends an unsafe request at the route\'s timeout with its outcome unknown', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }], routes: [createRoute('order', { route_type: 'unsafe', max_attempts: 1, timeout_ms: 600 })] })
    fleet.backends.get('plain-1')?.setFault('dark')
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x', timeoutMs: 5_000 })
    expect(result.status).toBe(504)
    expect(result.ms).toBeGreaterThanOrEqual(550)
  })
})

describe('an answer that is not the request\'s own', () => {
  // One caller would read the answer to another's request.
  test.each(['crossed', 'unsigned', 'encoded'] as const)('(%s) does not reach the caller', async (fault) => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault(fault, 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(502)
    expect(result.headers['x-server-stamp']).toBeUndefined()
  })

  // A second answer would pass for the answer to the next request on the connection.
  test('(extra bytes) is not given to the next request', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault('extra', 1)
    for (const requestId of ['r1', 'r2', 'r3']) {
      const result = await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId })
      expect(JSON.parse(result.body)).toMatchObject({ answer: requestId })
    }
  })

  test('(cut short) is not passed off as whole', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault('cut', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(502)
  })
})

describe('an answer without a length', () => {
  test('is whole when its connection ends in order', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault('unframed', 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result).toMatchObject({ status: 200, isComplete: true })
    expect(JSON.parse(result.body)).toMatchObject({ answer: 'r1' })
  })

  // An answer without a length whose connection is reset would pass for whole.
  test.each(['unframedReset', 'unframedResetAtOnce'] as const)('is not whole when its connection is reset (%s)', async (fault) => {
    const fleet = await start({ plain: [{ id: 'plain-1' }] })
    fleet.backends.get('plain-1')?.setFault(fault, 1)
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    expect(result.status).toBe(502)
  })
})

describe('a backend server at whose address another one is now', () => {
  test('does not get its requests run, and is not tried again', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1' }, { id: 'plain-2' }] })
    fleet.backends.get('plain-1')?.rename('other')
    for (let index = 0; index < 6; index++) expect((await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: `r${index}`, body: 'x' })).status).toBe(200)
    expect(fleet.backends.get('plain-1')?.records().length).toBeLessThanOrEqual(1)
    expect(fleet.backends.get('plain-1')?.records().some(({ isRun }) => isRun)).toBe(false)
  })
})

describe('a caller that leaves', () => {
  // A server would go on working for a caller that has hung up.
  test('has its backend server\'s connection closed', async () => {
    const fleet = await start({ plain: [{ id: 'plain-1', workMs: 1_500 }] })
    const leaving = new AbortController()
    const call = callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x', signal: leaving.signal })
    await pause(150)
    leaving.abort()
    await call
    await pause(200)
    expect(recordsOf(fleet, 'r1')[0]?.abandonedAfterMs).toBeLessThan(1_000)
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
  ])('%s gets a status of its own', async (_name, call, status) => {
    const fleet = await start()
    expect((await callGateway(fleet.callerAddress(), call)).status).toBe(status)
  })

  test('on a public route needs no key', async () => {
    const fleet = await start()
    expect((await callGateway(fleet.callerAddress(), { path: '/open/1', key: undefined })).status).toBe(200)
  })

  // Two readings of where a request ends would let one hide inside another.
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
    expect(recordsOf(fleet, 'r1')).toHaveLength(0)
  })
})
