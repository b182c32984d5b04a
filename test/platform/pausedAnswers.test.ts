/**
 * Tests a gateway process whose callers don't read an answer that ends with its connection. The
 * process must outlive whatever then happens to the connection, and the answer must be whole.
 */
import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, nextRequestId } from '../../platform/standIn/callGateway/index.js'
import { createPlatform, createRoute, HOST, KEY, PLAIN } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { computeHeldLimits } from '../../src/decisions/boundHeldBytes/index.js'
import { waitFor } from '../_lib/waitFor.js'

const PIECE_BYTES = 32_768
const TIMEOUT_MS = 30_000
const MEMORY_MB = 350
/** More than the caller's connection takes unread, with the allowance of the node. */
const MAXIMUM_PIECES = 2_000

const open: (() => Promise<unknown> | unknown)[] = []

afterEach(async () => { for (const close of open.splice(0).reverse()) await close() })

/** Answers the first request by the given function and each later one at once. */
const startServer = async (answerFirst: (socket: Socket) => void): Promise<{ readonly id: string, readonly address: () => { readonly host: string, readonly port: number } }> => {
  let answered = 0
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => { /* the gateway gives the exchange up */ })
    socket.on('data', (chunk) => {
      const requestId = /x-attempt-id: (.*)\r\n/i.exec(chunk.toString('latin1'))?.[1] ?? ''
      const head = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${requestId}\r\nX-Server-Stamp: stamp\r\nConnection: close\r\n`
      if (answered++ > 0) return socket.end(`${head}Content-Length: 2\r\n\r\nok`)
      socket.write(`${head}\r\n`)
      answerFirst(socket)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  open.push(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return { id: 'plain-1', address: () => ({ host: '127.0.0.1', port: (server.address() as AddressInfo).port }) }
}

const start = async (answerFirst: (socket: Socket) => void): Promise<GatewayProcess> => {
  const platform = await createPlatform({ plain: [], engines: [], routes: [createRoute('lookup', { timeout_ms: TIMEOUT_MS })] })
  open.push(platform.close)
  platform.register(await startServer(answerFirst), PLAIN)
  const node = await startGatewayProcess({ name: 'node-1', store: platform.store.address(), fields: { contracts: 'base,pressure', 'limits.memory_mb': String(MEMORY_MB) } })
  open.push(node.close)
  const { host, port } = node.readinessAddress
  await waitFor('the node to be ready', async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
  return node
}

/** Sends a request and reads nothing of its answer until it is resumed. */
const callUnread = ({ callerAddress }: GatewayProcess): Socket => {
  const socket = connect({ ...callerAddress, noDelay: true })
  socket.write(`GET /lookup/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${nextRequestId()}\r\nX-Deadline-Ms: ${TIMEOUT_MS}\r\nAuthorization: Bearer ${KEY}\r\nConnection: close\r\n\r\n`)
  socket.pause()
  open.push(() => socket.destroy())
  return socket
}

/** Whether the node holds so much of the answer that it is paused. */
const isAnswerPaused = async ({ metricsAddress: { host, port } }: GatewayProcess): Promise<boolean> => {
  const metrics = await (await fetch(`http://${host}:${port}/metrics`)).text()
  return Number(/^dotterelspoke_gateway_held_bytes\{kind="unreadAnswer"\} (\d+)/m.exec(metrics)?.[1] ?? 0) > computeHeldLimits(MEMORY_MB).callerBytes
}

const expectServing = async (node: GatewayProcess): Promise<void> => {
  const how = await Promise.race([node.ended, callGateway(node.callerAddress, { path: '/lookup/1' })])
  expect(how).toMatchObject({ status: 200, body: 'ok' })
}

/** The bytes of the body, once the caller has read the answer to the end of its connection. */
const readBody = async (caller: Socket): Promise<string> => {
  const chunks: Buffer[] = []
  for await (const chunk of caller) chunks.push(chunk as Buffer)
  const text = Buffer.concat(chunks).toString('latin1')
  expect(text).toMatch(/^HTTP\/1.1 200 /)
  const rest = text.slice(text.indexOf('\r\n\r\n') + 4)
  return rest.replace(/(?:^|\r\n)[0-9a-f]+\r\n(?:\r\n$)?/g, '')
}

describe('an answer that ends with its connection and is paused for its caller', () => {
  // The end reaches the parser while it is paused on the last bytes that have arrived, and would end the process.
  test('is whole when its server ends it meanwhile', async () => {
    const server: { socket?: Socket } = {}
    const node = await start((socket) => { server.socket = socket })
    const caller = callUnread(node)
    const socket = await waitFor('the request', () => server.socket)
    let pieces = 0
    while (pieces < MAXIMUM_PIECES && !await isAnswerPaused(node)) {
      await new Promise((resolve) => { socket.write('x'.repeat(PIECE_BYTES), resolve) })
      pieces += 1
      // A first answer shows that the piece was read: the next one tells whether it paused the answer.
      await isAnswerPaused(node)
    }
    expect(pieces).toBeLessThan(MAXIMUM_PIECES)
    socket.end()
    await expectServing(node)
    const body = await readBody(caller)
    expect([body.length, /^x*$/.test(body)]).toEqual([pieces * PIECE_BYTES, true])
    await expectServing(node)
  }, 60_000)

  // The connection of an answer without end is closed while the parser is paused, and would end the process.
  test('ends alone when its caller leaves an answer without end', async () => {
    let isClosed = false
    const node = await start((socket) => {
      socket.on('close', () => { isClosed = true })
      const pour = (): void => { if (!socket.destroyed) socket.write('x'.repeat(PIECE_BYTES), () => setImmediate(pour)) }
      pour()
    })
    const caller = callUnread(node)
    await waitFor('the answer to be paused', () => isAnswerPaused(node))
    caller.destroy()
    await waitFor('the exchange to be given up', () => isClosed)
    await expectServing(node)
  }, 60_000)
})
