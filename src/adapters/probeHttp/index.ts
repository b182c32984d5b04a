/** Small HTTP listeners besides the callers' one: readiness for the platform's load balancer, metrics for the operators. */
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import type { PeerAddress } from '../../types/index.js'

export type ProbeAnswer = { readonly status: number, readonly body: string, readonly contentType?: string }

export type ProbeHttp = { readonly listen: () => Promise<PeerAddress>, readonly close: () => void }

/** Probers keep a connection or two; each may hold an answer that is not read. */
const MAXIMUM_CONNECTIONS = 128

/**
 * Creates a listener that answers GET requests by their path.
 *
 * @param address - Where to listen; port 0 lets the operating system choose.
 * @param handlers - The function that composes the answer, for each path.
 * @returns The listener, not yet open.
 *
 * @example
 * createProbeHttp({ host: '127.0.0.1', port: 0 }, { '/ready': () => ({ status: 200, body: 'ready' }) })
 */
export const createProbeHttp = (address: PeerAddress, handlers: Readonly<Record<string, () => ProbeAnswer | Promise<ProbeAnswer>>>): ProbeHttp => {
  const answering = new WeakSet<Socket>()
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
    listen: () => new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(address.port, address.host, () => {
        const bound = server.address()
        resolve({ host: address.host, port: typeof bound === 'object' && bound !== null ? bound.port : address.port })
      })
    }),
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
