/**
 * Peer transport over TCP: length-prefixed `cbor-x` frames between nodes that
 * have authenticated each other with the fleet key. A connection carries
 * requests one way, from the node that opened it, and the replies back.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { setSizeLimits } from 'cbor-x'
import { containEvents, type ContainedErrorReporter } from '../containedEvents/index.js'
import { createConnection } from './_lib/createConnection.js'
import type { Connection } from './_lib/createConnection.js'
import { createPeerLink } from './_lib/createPeerLink.js'
import type { PeerLink } from './_lib/createPeerLink.js'
import { dispatchFrame } from './_lib/dispatchFrame.js'
import type { PeerHandler, PeerHandlers } from './_lib/dispatchFrame.js'
import { openListener } from '../openListener/index.js'
import type { Listener } from '../openListener/index.js'
import type { Clock, Logger, Metrics, PeerAddress, PeerTransport, RandomSource, Timer } from '../../types/index.js'

export type PeerTcpOptions = {
  readonly host: string
  /** 0 lets the operating system choose. */
  readonly port: number
  /** Host that is advertised to peers, when it is not the listener's. */
  readonly advertisedHost?: string
  readonly fleetKey: string
  readonly maximumFrameBytes: number
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger?: Logger
  readonly metrics?: Metrics
  /** Called when the handler of a message throws. */
  readonly onHandlerError?: () => void
  /** Told of what is thrown in an event of a connection; it ends that connection. */
  readonly reportError?: ContainedErrorReporter | undefined
  readonly handshakeTimeoutMs?: number
  /** Connect timeout in milliseconds; 300 by default. */
  readonly connectTimeoutMs?: number
  /** Maximum number of messages that are queued while a connection is being opened; 256 by default. */
  readonly maximumQueueLength?: number
  /** Bytes waiting in a socket above which messages to that peer are dropped; 1 MiB by default. */
  readonly maximumQueueBytes?: number
  readonly maximumConnections?: number
  readonly idleTimeoutMs?: number
  readonly stallTimeoutMs?: number
  /** Maximum delay of the acknowledgement of a frame; well below the peers' `stallTimeoutMs`. */
  readonly acknowledgeDelayMs?: number
  readonly initialBackoffMs?: number
  readonly maximumBackoffMs?: number
}

export type PeerTcp = PeerTransport & {
  /** Opens the listener. Rejects when the port is not available. */
  readonly listen: () => Promise<PeerAddress>
  /** The address that peers connect to; the port is the actual one once `listen` has resolved. */
  readonly address: () => PeerAddress
  /** Bytes written since the start by message kind; a reply counts as `<kind>Reply`. */
  readonly bytesSent: () => ReadonlyMap<string, number>
}

const DEFAULTS = {
  handshakeTimeoutMs: 2000,
  connectTimeoutMs: 300,
  maximumQueueLength: 256,
  maximumQueueBytes: 1024 * 1024,
  maximumConnections: 1024,
  idleTimeoutMs: 60_000,
  stallTimeoutMs: 3000,
  acknowledgeDelayMs: 500,
  initialBackoffMs: 100,
  maximumBackoffMs: 2000
}

/** Time for a frame and its acknowledgement on the way, beyond the delay of the acknowledgement. */
const ACKNOWLEDGE_MARGIN_MS = 600

/** Maximum number of entries that an array or map of a frame may declare. */
const MAXIMUM_ENTRIES = 1_000_000

/**
 * Creates the transport of one router.
 *
 * A malformed frame, a wrong key or a frame over the limit closes the
 * connection it was received on and no other. Messages to a peer that can't be
 * reached are dropped; requests to it fail with `unreachable`.
 *
 * @param options - Where to listen, the fleet key, the limits in bytes and milliseconds, the clock and the random source.
 * @returns The transport; call `listen` before peers can reach it.
 *
 * @example
 * const transport = createPeerTcp({ host: '127.0.0.1', port: 0, fleetKey, maximumFrameBytes: 1_048_576, clock, random })
 * transport.handle('rootRequest', () => ({ kind: 'root' }))
 * const { port } = await transport.listen()
 */
export const createPeerTcp = (options: PeerTcpOptions): PeerTcp => {
  const settings = { ...DEFAULTS, ...options }
  setSizeLimits({ maxArraySize: MAXIMUM_ENTRIES, maxMapSize: MAXIMUM_ENTRIES, maxObjectSize: MAXIMUM_ENTRIES })
  const handlers: PeerHandlers = new Map()
  const links = new Map<string, PeerLink>()
  const accepted = new Map<Socket, Connection>()
  const sentBytes = new Map<string, number>()
  let isClosed = false
  let listener: Listener | undefined

  const countBytes = (kind: string, bytes: number): void => {
    sentBytes.set(kind, (sentBytes.get(kind) ?? 0) + bytes)
    options.metrics?.count('peer_sent_bytes', { kind }, bytes)
  }

  /** Sends an empty frame shortly after a frame was received, one for all frames received meanwhile. */
  const createAcknowledgement = (send: () => void) => {
    let timer: Timer | undefined
    const acknowledge = (): void => {
      timer = undefined
      send()
    }
    return {
      request: () => { timer ??= settings.clock.setTimer(settings.acknowledgeDelayMs, acknowledge) },
      cancel: () => timer?.cancel()
    }
  }

  const onThrown = (kind: string, reason: string): void => {
    options.logger?.error('message of a peer failed', { kind, reason })
    options.onHandlerError?.()
  }

  const accept = (socket: Socket): void => {
    const acknowledgement = createAcknowledgement(() => { accepted.get(socket)?.send({}, 'acknowledgement') })
    accepted.set(socket, createConnection({
      ...settings,
      socket,
      role: 'listener',
      countBytes,
      onReady: () => {},
      onFrame: (frame) => {
        acknowledgement.request()
        dispatchFrame(handlers, frame, { respond: (reply, kind) => { accepted.get(socket)?.send(reply, kind) }, onThrown })
      },
      onClose: (reason) => {
        acknowledgement.cancel()
        accepted.delete(socket)
        options.logger?.debug('peer connection closed', { remote: socket.remoteAddress, reason })
      }
    }))
  }

  const server = createServer(accept)
  containEvents(server, (error, event, [socket]) => {
    options.reportError?.({ adapter: 'peerTcp' }, event, error)
    if (event === 'connection') (socket as Socket).destroy()
  })
  server.maxConnections = settings.maximumConnections

  const getOrCreateLink = (address: PeerAddress): PeerLink => {
    const name = `${address.host}:${address.port}`
    const known = links.get(name)
    if (known !== undefined) return known
    const link = createPeerLink({ ...settings, suspectTimeoutMs: settings.acknowledgeDelayMs + ACKNOWLEDGE_MARGIN_MS, address, countBytes, onIdle: () => { links.delete(name) } })
    links.set(name, link)
    return link
  }

  const address = (): PeerAddress => {
    const bound = server.address() as AddressInfo | null
    return { host: options.advertisedHost === undefined || options.advertisedHost === '' ? options.host : options.advertisedHost, port: bound?.port ?? options.port }
  }

  return {
    listen: async () => {
      listener = openListener({ server, address: options, part: 'peers', logger: options.logger })
      await listener.tried
      return address()
    },
    address,
    bytesSent: () => sentBytes,
    send: (to, message) => { if (!isClosed) getOrCreateLink(to).send(message) },
    request: (to, message, timeoutMs) => {
      if (isClosed) return Promise.resolve({ ok: false, error: { kind: 'unreachable', message: 'message not sent: the peer transport is closed' } })
      return getOrCreateLink(to).request(message, timeoutMs)
    },
    handle: (kind, handler) => { handlers.set(kind, handler as PeerHandler) },
    close: async () => {
      isClosed = true
      const closing = server.listening ? new Promise<void>((resolve) => { server.once('close', resolve) }) : Promise.resolve()
      listener?.close()
      for (const link of links.values()) link.close()
      for (const connection of [...accepted.values()]) connection.close()
      await closing
    }
  }
}
