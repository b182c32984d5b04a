/** A gateway before a backend server with answers of any size, and callers that read as slowly as a test wants. */
import { once } from 'node:events'
import { createServer, request } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { BackendStandIn } from '../../../platform/standIn/createBackendStandIn/index.js'
import { callGateway, nextRequestId } from '../../../platform/standIn/callGateway/index.js'
import { createRoute, ENGINES, HOST, KEY, PLAIN } from '../../../platform/standIn/createPlatform/index.js'
import type { GatewaySettings } from '../../../src/types/index.js'
import { startGatewayFleet, type GatewayFleet } from './startGatewayFleet.js'

/** No request of these tests may meet its deadline. */
const TIMEOUT_MS = 120_000
const EVENT_BYTES = 16_384
const EVENT = 'x'.repeat(EVENT_BYTES)
/** Shared by all answers, so that the test itself needs little memory. */
const BODY = Buffer.alloc(16_000_000, 'x')

export type SlowCaller = {
  readonly socket: Socket
  readonly countBytes: () => number
  readonly isClosed: () => boolean
  /** Takes up to this many bytes. */
  readonly read: (bytes: number) => void
  /** Reads everything from now on. */
  readonly readAll: () => void
  readonly readText: () => string
}

export type SlowReaderRig = {
  readonly fleet: GatewayFleet
  readonly callSlowly: (path: string) => SlowCaller
  readonly callAtOnce: (path: string) => ReturnType<typeof callGateway>
  /** Values of a metric by its label. */
  readonly readMetric: (name: string) => Promise<Readonly<Record<string, number>>>
  readonly countServed: () => number
  readonly close: () => Promise<void>
}

const writeStream = async (response: ServerResponse, events: number): Promise<void> => {
  const closed = once(response, 'close')
  response.writeHead(200, { 'Content-Type': 'text/event-stream' })
  for (let id = 1; id <= events && !response.closed; id++) {
    if (!response.write(`id: ${id}\ndata: ${EVENT}\n\n`)) await Promise.race([once(response, 'drain'), closed])
  }
  response.end()
}

/** Answers `/lookup/N` with N bytes, and `/chat/N` with a stream of N events. */
export const answer = (message: IncomingMessage, response: ServerResponse): void => {
  response.setHeader('X-Attempt-Id', String(message.headers['x-attempt-id']))
  response.setHeader('X-Server-Stamp', 'stamp')
  const size = Number(message.url?.split('/').at(-1)) || 0
  message.resume()
  if (message.url?.startsWith('/chat/') === true) writeStream(response, size).catch(() => response.destroy())
  else response.end(BODY.subarray(0, size))
}

export const callSlowly = (port: number, path: string): SlowCaller => {
  const socket = connect({ port, host: '127.0.0.1' })
  const chunks: Buffer[] = []
  let bytes = 0
  let isClosed = false
  const take = (chunk: Buffer | null): void => {
    if (chunk === null) return
    bytes += chunk.length
    chunks.push(chunk)
  }
  socket.on('error', () => { /* the node may end it */ })
  socket.on('close', () => { isClosed = true })
  socket.write([`GET ${path} HTTP/1.1`, `Host: ${HOST}`, `X-Attempt-Id: ${nextRequestId()}`, `X-Deadline-Ms: ${TIMEOUT_MS}`, `Authorization: Bearer ${KEY}`, '', ''].join('\r\n'))
  return {
    socket,
    countBytes: () => bytes,
    isClosed: () => isClosed,
    read: (size) => take(socket.read(Math.min(size, socket.readableLength)) as Buffer | null),
    readAll: () => { socket.on('data', take) },
    readText: () => Buffer.concat(chunks).toString('latin1')
  }
}

const fetchText = (port: number, path: string): Promise<string> => new Promise((resolve, reject) => {
  request({ port, host: '127.0.0.1', path }, (response) => {
    const chunks: Buffer[] = []
    response.on('data', (chunk: Buffer) => chunks.push(chunk))
    response.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')))
  }).on('error', reject).end()
})

/** Starts a gateway with these settings, and limits of the configuration. */
export const startSlowReaders = async (settings: Partial<GatewaySettings>, limits: Readonly<Record<string, number>> = {}): Promise<SlowReaderRig> => {
  let served = 0
  const server = createServer((message, response) => {
    served += 1
    answer(message, response)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const fleet = await startGatewayFleet({
    plain: [],
    engines: [],
    limits,
    routes: [createRoute('lookup', { timeout_ms: TIMEOUT_MS, latency_goal_ms: TIMEOUT_MS }), createRoute('chat', { route_type: 'stream', service: ENGINES, resumable: true, timeout_ms: TIMEOUT_MS, gap_target_ms: 300 })],
    settings: { metricsAddress: { host: '127.0.0.1', port: 0 }, ...settings }
  })
  for (const service of [PLAIN, ENGINES]) fleet.register({ id: `big-${service}`, address: () => ({ host: '127.0.0.1', port }) } as BackendStandIn, service, { slots: 1_000 })
  const callAtOnce = (path: string) => callGateway(fleet.callerAddress(), { path, method: 'GET', timeoutMs: TIMEOUT_MS })
  while ((await callAtOnce('/lookup/1')).status !== 200 || (await callAtOnce('/chat/1')).status !== 200) { /* until the node knows the servers */ }
  const callers: SlowCaller[] = []
  const metricsPort = Number(fleet.logs.find(({ message }) => message === 'gateway started')?.['metricsPort'])
  return {
    fleet,
    callSlowly: (path) => {
      const caller = callSlowly(fleet.callerAddress().port, path)
      callers.push(caller)
      return caller
    },
    callAtOnce,
    readMetric: async (name) => {
      const text = await fetchText(metricsPort, '/metrics')
      const lines = text.split('\n').filter((line) => line.startsWith(`dotterelspoke_${name}{`) || line.startsWith(`dotterelspoke_${name} `) || line.startsWith(`dotterelspoke_${name}_total`))
      return Object.fromEntries(lines.map((line) => [/="([^"]*)"/.exec(line)?.[1] ?? '', Number(line.split(' ').at(-1))]))
    },
    countServed: () => served,
    close: async () => {
      for (const { socket } of callers) socket.destroy()
      await fleet.close()
      server.closeAllConnections()
      server.close()
    }
  }
}
