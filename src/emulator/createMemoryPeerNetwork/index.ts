/**
 * A network of peer transports inside one process, for tests and benchmarks that
 * run many nodes. Messages are encoded and decoded with `cbor-x` as on TCP, so
 * that nodes share no objects and bytes can be counted. Delays are timed by the
 * given clock.
 */
import { Encoder } from 'cbor-x'
import { failure, success } from '../../kernel/index.js'
import type { Clock, PeerAddress, PeerError, PeerMessage, PeerReply, PeerTransport, Result } from '../../types/index.js'

export type MemoryPeerNetworkOptions = {
  readonly clock: Clock
  /** One-way delay in milliseconds; 1 by default. */
  readonly delayMs?: (from: PeerAddress, to: PeerAddress) => number
  /** Whether a message is lost; none is by default. */
  readonly isLost?: (from: PeerAddress, to: PeerAddress, kind: string) => boolean
}

export type MemoryPeerTransport = PeerTransport & {
  readonly address: () => PeerAddress
  /** Bytes sent since the start by message kind, including the 4-byte length prefix of each frame. */
  readonly bytesSent: () => ReadonlyMap<string, number>
  readonly messagesSent: () => number
}

export type MemoryPeerNetwork = {
  readonly createTransport: (address: PeerAddress) => MemoryPeerTransport
  /** Drops all messages between two addresses in both directions, including those in transit. */
  readonly cut: (one: PeerAddress, other: PeerAddress) => void
  readonly heal: (one: PeerAddress, other: PeerAddress) => void
  readonly healAll: () => void
}

type Handler = (message: PeerMessage) => PeerReply | Promise<PeerReply>

type Endpoint = { readonly handlers: Map<string, Handler>, readonly count: (kind: string, bytes: number) => void }

type Frame = { readonly id?: number, readonly message?: PeerMessage, readonly reply?: PeerReply, readonly problem?: string }

type Codec = { readonly encoder: Encoder, readonly decoder: Encoder }

const FRAME_LENGTH_BYTES = 4
const DEFAULT_DELAY_MS = 1

const formatAddress = (address: PeerAddress): string => `${address.host}:${address.port}`
const formatLink = (from: PeerAddress, to: PeerAddress): string => `${formatAddress(from)}>${formatAddress(to)}`

/**
 * Creates a network without nodes.
 *
 * @param options - The clock, the one-way delay in milliseconds and the message loss.
 * @returns The network, which creates a transport for each address and can cut and heal links.
 *
 * @example
 * const network = createMemoryPeerNetwork({ clock })
 * const transport = network.createTransport({ host: 'node-1', port: 1 })
 */
export const createMemoryPeerNetwork = (options: MemoryPeerNetworkOptions): MemoryPeerNetwork => {
  const { clock } = options
  const endpoints = new Map<string, Endpoint>()
  const cuts = new Set<string>()
  const codecs = new Map<string, Codec>()

  const getCodec = (link: string): Codec => {
    const known = codecs.get(link)
    if (known !== undefined) return known
    const codec = { encoder: new Encoder({ sequential: true }), decoder: new Encoder({ sequential: true }) }
    codecs.set(link, codec)
    return codec
  }

  const transfer = (from: PeerAddress, to: PeerAddress, kind: string, frame: Frame, deliver: (frame: Frame) => void): void => {
    const link = formatLink(from, to)
    if (cuts.has(link) || !endpoints.has(formatAddress(to))) return
    if (options.isLost?.(from, to, kind) === true) return
    const codec = getCodec(link)
    const bytes = codec.encoder.encode(frame)
    endpoints.get(formatAddress(from))?.count(kind, bytes.length + FRAME_LENGTH_BYTES)
    const received = codec.decoder.decode(bytes) as Frame
    clock.setTimer(options.delayMs?.(from, to) ?? DEFAULT_DELAY_MS, () => { if (!cuts.has(link)) deliver(received) })
  }

  const runHandler = async (to: PeerAddress, message: PeerMessage): Promise<Frame> => {
    const handler = endpoints.get(formatAddress(to))?.handlers.get(message.kind)
    if (handler === undefined) return { problem: 'no handler for this kind of message' }
    try {
      return { reply: await handler(message) }
    } catch (error) {
      return { problem: error instanceof Error ? error.message : 'the handler failed' }
    }
  }

  const request = (from: PeerAddress, to: PeerAddress, message: PeerMessage, timeoutMs: number): Promise<Result<PeerReply, PeerError>> =>
    new Promise((resolve) => {
      if (!endpoints.has(formatAddress(to))) return resolve(failure({ kind: 'unreachable', message: 'connection refused: no node listens on this address' }))
      const timer = clock.setTimer(timeoutMs, () => resolve(failure({ kind: 'timeout' })))
      const settle = (frame: Frame): void => {
        timer.cancel()
        resolve(frame.reply === undefined ? failure({ kind: 'unhandled', message: String(frame.problem) }) : success(frame.reply))
      }
      transfer(from, to, message.kind, { id: 1, message }, async (frame) => {
        const answer = await runHandler(to, frame.message as PeerMessage)
        transfer(to, from, `${message.kind}Reply`, { id: 1, ...answer }, settle)
      })
    })

  const createTransport = (address: PeerAddress): MemoryPeerTransport => {
    const handlers = new Map<string, Handler>()
    const sentBytes = new Map<string, number>()
    let sentMessages = 0
    const count = (kind: string, bytes: number): void => {
      sentBytes.set(kind, (sentBytes.get(kind) ?? 0) + bytes)
      sentMessages += 1
    }
    endpoints.set(formatAddress(address), { handlers, count })
    return {
      address: () => address,
      bytesSent: () => sentBytes,
      messagesSent: () => sentMessages,
      send: (to, message) => {
        transfer(address, to, message.kind, { message }, (frame) => { runHandler(to, frame.message as PeerMessage) })
      },
      request: (to, message, timeoutMs) => request(address, to, message, timeoutMs),
      handle: (kind, handler) => { handlers.set(kind, handler as Handler) },
      close: async () => { endpoints.delete(formatAddress(address)) }
    }
  }

  return {
    createTransport,
    cut: (one, other) => { cuts.add(formatLink(one, other)).add(formatLink(other, one)) },
    heal: (one, other) => {
      cuts.delete(formatLink(one, other))
      cuts.delete(formatLink(other, one))
    },
    healAll: () => cuts.clear()
  }
}
