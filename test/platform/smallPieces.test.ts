/**
 * Tests a gateway process that gets bodies in the smallest pieces that framing allows, from
 * callers and from backend servers. Judged by its memory and by the traffic beside them.
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
const TIMEOUT_MS = 20_000
const CROWD = 3
const PIECES_PER_BODY = 900_000
const PIECES_PER_WRITE = 30_000
const PIECES = '1\r\nx\r\n'.repeat(PIECES_PER_WRITE)
const OTHER = 'other'

const open: { readonly close: () => unknown }[] = []

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

/** Writes a body in pieces of one byte, no faster than the other side reads; its end is left out. */
const writePieces = async (socket: Socket): Promise<void> => {
  for (let pieces = 0; pieces < PIECES_PER_BODY && !socket.destroyed; pieces += PIECES_PER_WRITE) {
    if (!socket.write(PIECES)) await new Promise((resolve) => { socket.once('drain', resolve).once('close', resolve) })
  }
}

const startPiecesServer = async () => {
  const sockets = new Set<Socket>()
  let written = 0
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => { /* the gateway gives the exchange up */ })
    socket.on('data', (chunk) => {
      const id = /^x-attempt-id: (.*)$/im.exec(String(chunk))?.[1] ?? ''
      socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n`)
      writePieces(socket).then(() => { written += 1 }, () => socket.destroy())
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    id: 'pieces',
    address: () => ({ host: '127.0.0.1', port: (server.address() as AddressInfo).port }),
    countWritten: () => written,
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

const start = async () => {
  const routes = [createRoute('lookup', { timeout_ms: TIMEOUT_MS }), createRoute('order', { service: OTHER, route_type: 'unsafe', max_attempts: 1, timeout_ms: TIMEOUT_MS })]
  const platform = await createPlatform({ plain: [], engines: [], routes, limits: { max_body_bytes: BYTES_PER_MEGABYTE } })
  const pieces = await startPiecesServer()
  const sound = await createBackendStandIn({ id: 'sound' })
  open.push(platform, pieces, sound)
  platform.register(pieces, PLAIN)
  platform.register(sound, OTHER)
  const node = await startGatewayProcess({ name: 'node-1', store: platform.store.address(), fields: { 'limits.memory_mb': String(MEMORY_MB) } })
  open.push(node)
  const { host, port } = node.readinessAddress
  await waitFor('the node to be ready', async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
  return { node, pieces }
}

const expectSound = async (node: GatewayProcess): Promise<void> => {
  const results = await Promise.all(Array.from({ length: 4 }, () => callGateway(node.callerAddress, { path: '/order/1', body: 'x', timeoutMs: TIMEOUT_MS })))
  expect(results.map(({ status, isComplete }) => [status, isComplete])).toEqual(results.map(() => [200, true]))
  expect(node.readPeakMemory()).toBeLessThan(MEMORY_MB * BYTES_PER_MEGABYTE)
}

describe('bodies in pieces of one byte', () => {
  // Each piece was kept as an object of a hundred bytes, so that two answers filled the heap and ended the process.
  test('of answers take no more memory than others', async () => {
    const { node, pieces } = await start()
    for (let index = 0; index < CROWD; index++) callGateway(node.callerAddress, { path: '/lookup/1', timeoutMs: TIMEOUT_MS }).catch(() => { /* never ends */ })
    expect(await Promise.race([node.ended, waitFor('the answers to be written', () => pieces.countWritten() >= CROWD)])).toBe(true)
    await expectSound(node)
  })

  // The same for callers, whose bodies are kept whole so that they can be sent again.
  test('of requests take no more memory than others', async () => {
    const { node } = await start()
    const callers = Array.from({ length: CROWD }, async () => {
      const socket = connect(node.callerAddress.port, node.callerAddress.host)
      open.push({ close: () => socket.destroy() })
      socket.on('error', () => { /* the gateway may close it */ })
      socket.write(`POST /order/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${nextRequestId()}\r\nX-Deadline-Ms: ${TIMEOUT_MS}\r\nAuthorization: Bearer ${KEY}\r\nTransfer-Encoding: chunked\r\n\r\n`)
      await writePieces(socket)
    })
    expect(await Promise.race([node.ended, Promise.all(callers).then(() => true)])).toBe(true)
    await expectSound(node)
  })
})
