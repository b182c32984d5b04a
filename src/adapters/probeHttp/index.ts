/** Small HTTP listeners besides the callers' one: readiness for the platform's load balancer, metrics for the operators. */
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import { openListener } from '../openListener/index.js'
import type { Listener, OpenListenerOptions } from '../openListener/index.js'
import type { PeerAddress } from '../../types/index.js'

export type ProbeAnswer = { readonly status: number, readonly body: string, readonly contentType?: string }

export type ProbeHttp = {
  /** Resolves after the first try with the address it listens on, or will listen on once its port can be had. */
  readonly listen: () => Promise<PeerAddress>
  readonly close: () => void
}

/** Probers keep a connection or two; each may hold an answer that is not read. */
const MAXIMUM_CONNECTIONS = 128

/**
 * Creates a listener that answers GET requests by their path.
 *
 * @param address - Where to listen; port 0 lets the operating system choose.
 * @param handlers - The function that composes the answer, for each path.
 * @param options - What the listener is for, and the logger.
 * @returns The listener, not yet open.
 *
 * @example
 * createProbeHttp({ host: '127.0.0.1', port: 0 }, { '/ready': () => ({ status: 200, body: 'ready' }) }, { part: 'readiness' })
 */
export const createProbeHttp = (address: PeerAddress, handlers: Readonly<Record<string, () => ProbeAnswer | Promise<ProbeAnswer>>>, options: Pick<OpenListenerOptions, 'part' | 'logger'>): ProbeHttp => {
  const answering = new WeakSet<Socket>()
  let listener: Listener | undefined
  const server = createServer((request, response) => {
    const { socket } = request
    // Many requests that arrive together would each have an answer here until the prober reads.
    if (answering.has(socket)) return socket.destroy()
    answering.add(socket)
    response.on('close', () => answering.delete(socket))
    const handler = handlers[request.url ?? '']
    Promise.resolve(handler === undefined ? { status: 404, body: 'not found' } : handler()).then(({ status, body, contentType }) => {
      response.writeHead(status, { 'Content-Type': contentType ?? 'text/plain', 'Content-Length': Buffer.byteLength(body) })
      response.end(body)
    }, () => response.destroy())
  })
  server.maxConnections = MAXIMUM_CONNECTIONS
  return {
    listen: () => {
      listener = openListener({ ...options, server, address })
      return listener.tried
    },
    close: () => {
      listener?.close()
      server.closeAllConnections()
    }
  }
}
