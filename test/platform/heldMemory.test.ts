/**
 * Tests a gateway process whose callers send or ask for more at once than its memory holds.
 * Judged by its memory and by the traffic beside them.
 */
import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, nextRequestId } from '../../platform/standIn/callGateway/index.js'
import { createBackendStandIn } from '../../platform/standIn/createBackendStandIn/index.js'
import { createPlatform, createRoute, HOST, KEY, PLAIN } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { waitFor } from '../_lib/waitFor.js'

/** Of the VM; the process may hold no more. */
const MEMORY_MB = 350
const BYTES_PER_MEGABYTE = 1_048_576
/** Less than a process takes that does nothing. */
const SCARCE_MEMORY_MB = 40
const TIMEOUT_MS = 20_000
const BODY_BYTES = 900_000
const BODY = 'x'.repeat(BODY_BYTES)
const OTHER = 'other'
const SOUND_CALLS = 20

const open: { readonly close: () => unknown }[] = []

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

type Answer = (socket: Socket, requestId: string) => void

/** Answers GET requests with a large body, and no others. */
const answerLargely: Answer = (socket, requestId) => {
  socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${requestId}\r\nX-Server-Stamp: stamp\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${BODY}`)
}

const startServer = async (answer: Answer) => {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => { /* the gateway gives the exchange up */ })
    socket.on('data', (chunk) => {
      const id = /^x-attempt-id: (.*)$/im.exec(chunk.toString('latin1'))?.[1]
      if (id !== undefined) answer(socket, id)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  open.push({
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  })
  return { id: 'large', address: () => ({ host: '127.0.0.1', port: (server.address() as AddressInfo).port }) }
}

const start = async (answer: Answer, memoryMb = MEMORY_MB): Promise<GatewayProcess> => {
  const routes = [createRoute('lookup', { timeout_ms: TIMEOUT_MS }), createRoute('order', { service: OTHER, route_type: 'unsafe', max_attempts: 1, timeout_ms: TIMEOUT_MS })]
  const platform = await createPlatform({ plain: [], engines: [], routes, limits: { max_body_bytes: BYTES_PER_MEGABYTE } })
  const sound = await createBackendStandIn({ id: 'sound' })
  open.push(platform, sound)
  platform.register(await startServer(answer), PLAIN, { slots: 1_000 })
  platform.register(sound, OTHER)
  const node = await startGatewayProcess({ name: 'node-1', store: platform.store.address(), fields: { 'limits.memory_mb': String(memoryMb) } })
  open.push(node)
  const { host, port } = node.readinessAddress
  await waitFor('the node to be ready', async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
  return node
}

const composeRequest = (method: string, ...lines: readonly string[]): string =>
  [`${method} /lookup/1 HTTP/1.1`, `Host: ${HOST}`, `X-Attempt-Id: ${nextRequestId()}`, `X-Deadline-Ms: ${TIMEOUT_MS}`, `Authorization: Bearer ${KEY}`, ...lines, '', ''].join('\r\n')

/** Sends bytes on a connection from which nothing is read. */
const sendUnread = ({ host, port }: GatewayProcess['callerAddress'], compose: () => string): void => {
  const socket = connect(port, host)
  open.push({ close: () => socket.destroy() })
  socket.on('error', () => { /* the gateway may close it */ })
  socket.pause()
  socket.write(compose())
}

const expectSound = async (node: GatewayProcess): Promise<void> => {
  const statuses: number[] = []
  await waitFor('sound requests to be served', async () => {
    statuses.push((await callGateway(node.callerAddress, { path: '/order/1', body: 'x', timeoutMs: TIMEOUT_MS })).status)
    return statuses.filter((status) => status === 200).length >= SOUND_CALLS || statuses.includes(0)
  })
  // Some may be refused as not run; none may be lost with the process.
  expect(statuses.filter((status) => status !== 200 && status !== 503)).toEqual([])
  expect(node.readPeakMemory()).toBeLessThan(MEMORY_MB * BYTES_PER_MEGABYTE)
}

describe('probers that send without end and read nothing', () => {
  // Every scrape in a piece of bytes was answered at once, twenty kilobytes each, until the heap was full.
  test('take no more memory than the VM has', async () => {
    const node = await start(() => { /* not called */ })
    const scrapes = 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(500)
    for (let index = 0; index < 30; index++) {
      for (const address of [node.readinessAddress, node.metricsAddress]) sendUnread(address, () => scrapes.repeat(20))
      sendUnread(node.metricsAddress, () => 'x'.repeat(BYTES_PER_MEGABYTE))
    }
    await expectSound(node)
    const { host, port } = node.readinessAddress
    expect((await fetch(`http://${host}:${port}/readyz`)).status).toBe(200)
    expect((await fetch(`http://${host}:${node.metricsAddress.port}/metrics`)).status).toBe(200)
  })
})

describe('a process that nears the memory of its VM', () => {
  // The platform's kill leaves no line: why the process ended could not be told.
  test('says what fills it', async () => {
    const node = await start(() => { /* not called */ }, SCARCE_MEMORY_MB)
    const line = await waitFor('the line', () => node.lines.find(({ message }) => message === 'memory nearly full'))
    expect(line).toMatchObject({ memory: 'resident', residentLimitBytes: SCARCE_MEMORY_MB * BYTES_PER_MEGABYTE, openRequests: 0, requestBody: 0 })
  })
})

describe('callers that need more memory than the VM has', () => {
  // Bodies were bounded one by one: four hundred of a megabyte passed the memory of the VM while their server was silent.
  test('with large bodies for a silent server are refused in part', async () => {
    const node = await start(() => { /* silent */ })
    for (let index = 0; index < 400; index++) sendUnread(node.callerAddress, () => composeRequest('POST', `Content-Length: ${BODY_BYTES}`) + BODY)
    await expectSound(node)
  })

  // All requests of a connection ran at once, so that each caller had as many answers in the node as it liked.
  test('with many requests on each connection have a few run at a time', async () => {
    const node = await start(answerLargely)
    for (let index = 0; index < 64; index++) sendUnread(node.callerAddress, () => Array.from({ length: 60 }, () => composeRequest('GET')).join(''))
    await expectSound(node)
  })

  // Requests without end on one connection take some kilobytes each, however few of them run.
  test('with too many requests on a connection lose it', async () => {
    const node = await start(answerLargely)
    for (let index = 0; index < 64; index++) sendUnread(node.callerAddress, () => Array.from({ length: 200 }, () => composeRequest('GET')).join(''))
    await waitFor('a line that names the connection', () => node.lines.some(({ message }) => message === 'connection with too many requests closed'))
    await expectSound(node)
  })
})
