/** Small HTTP listeners besides the callers' one: readiness for the platform's load balancer, metrics for the operators. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { containEvents, type ContainedErrorReporter } from '../containedEvents/index.js'
import type { PeerAddress } from '../../types/index.js'

export type ProbeAnswer = { readonly status: number, readonly body: string, readonly contentType?: string }

export type ProbeHttp = { readonly listen: () => Promise<PeerAddress>, readonly close: () => void }

const NOT_FOUND: ProbeAnswer = { status: 404, body: 'not found' }

/**
 * Creates a listener that answers GET requests by their path.
 *
 * @param address - Where to listen; port 0 lets the operating system choose.
 * @param handlers - The function that composes the answer, for each path.
 * @param reportError - Told of what a handler throws; the connection of its request is closed.
 * @returns The listener, not yet open.
 *
 * @example
 * createProbeHttp({ host: '127.0.0.1', port: 0 }, { '/ready': () => ({ status: 200, body: 'ready' }) })
 */
export const createProbeHttp = (address: PeerAddress, handlers: Readonly<Record<string, () => ProbeAnswer | Promise<ProbeAnswer>>>, reportError?: ContainedErrorReporter): ProbeHttp => {
  const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    try {
      const { status, body, contentType } = await handlers[request.url ?? '']?.() ?? NOT_FOUND
      response.writeHead(status, { 'Content-Type': contentType ?? 'text/plain', 'Content-Length': Buffer.byteLength(body) })
      response.end(body)
    } catch (error) {
      reportError?.({ adapter: 'probeHttp', request: request.url }, 'request', error)
      response.destroy()
    }
  }
  const server = createServer((request, response) => { answer(request, response).catch(() => response.destroy()) })
  containEvents(server, (error, event) => reportError?.({ adapter: 'probeHttp' }, event, error))
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
