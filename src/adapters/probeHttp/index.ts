/** Small HTTP listeners besides the callers' one: readiness for the platform's load balancer, metrics for the operators. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { containEvents, type ContainedErrorReporter } from '../containedEvents/index.js'
import { openListener } from '../openListener/index.js'
import type { Listener, OpenListenerOptions } from '../openListener/index.js'
import type { PeerAddress } from '../../types/index.js'

export type ProbeAnswer = { readonly status: number, readonly body: string, readonly contentType?: string }

export type ProbeHttp = {
  /** Resolves after the first try with the address it listens on, or will listen on once its port can be had. */
  readonly listen: () => Promise<PeerAddress>
  readonly close: () => void
}

export type ProbeHttpOptions = Pick<OpenListenerOptions, 'part' | 'logger'> & { readonly reportError?: ContainedErrorReporter }

/** Probers keep a connection or two; each may hold an answer that is not read. */
const MAXIMUM_CONNECTIONS = 128

const NOT_FOUND: ProbeAnswer = { status: 404, body: 'not found' }

/**
 * Creates a listener that answers GET requests by their path.
 *
 * @param address - Where to listen; port 0 lets the operating system choose.
 * @param handlers - The function that composes the answer, for each path.
 * @param options - What the listener is for, the logger, and who is told of what a handler throws; the connection of its request is closed.
 * @returns The listener, not yet open.
 *
 * @example
 * createProbeHttp({ host: '127.0.0.1', port: 0 }, { '/ready': () => ({ status: 200, body: 'ready' }) }, { part: 'readiness' })
 */
export const createProbeHttp = (address: PeerAddress, handlers: Readonly<Record<string, () => ProbeAnswer | Promise<ProbeAnswer>>>, { reportError, ...options }: ProbeHttpOptions): ProbeHttp => {
  const answering = new WeakSet<Socket>()
  let listener: Listener | undefined

  const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { socket } = request
    // Many requests that arrive together would each have an answer here until the prober reads.
    if (answering.has(socket)) {
      socket.destroy()
      return
    }
    answering.add(socket)
    response.on('close', () => answering.delete(socket))
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
