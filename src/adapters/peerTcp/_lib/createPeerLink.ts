/**
 * The outgoing link to one peer. It connects when there is something to send,
 * queues a bounded number of messages meanwhile, backs off after a failure, and
 * closes when idle. Losing the connection fails its open requests and drops its
 * queue. A connection may go silent without being lost: while its frames are not
 * acknowledged, a second one is opened, and takes over once it works.
 */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { createConnection } from './createConnection.js'
import type { Connection, ConnectionOptions } from './createConnection.js'
import { failure, success } from '../../../kernel/index.js'
import type { Clock, PeerAddress, PeerError, PeerMessage, PeerReply, RandomSource, Result, Timer } from '../../../types/index.js'

export type LinkOptions = Pick<ConnectionOptions, 'fleetKey' | 'maximumFrameBytes' | 'maximumQueueBytes' | 'handshakeTimeoutMs' | 'countBytes' | 'reportError'> & {
  readonly address: PeerAddress
  readonly clock: Clock
  readonly random: RandomSource
  readonly maximumQueueLength: number
  /** Connect timeout. A peer whose VM is not running yet does not answer, and TCP retransmits only after a second. */
  readonly connectTimeoutMs: number
  /** Opens a socket; TCP by default. */
  readonly openSocket?: (address: PeerAddress) => Socket
  readonly idleTimeoutMs: number
  /** Time without any received frame after which a connection with unacknowledged frames counts as lost. */
  readonly stallTimeoutMs: number
  /** Time without any received frame, in milliseconds, after which a second connection is opened beside one with unacknowledged frames. */
  readonly suspectTimeoutMs: number
  readonly initialBackoffMs: number
  readonly maximumBackoffMs: number
  /** Called when the link has closed because it was idle. */
  readonly onIdle: () => void
}

export type PeerLink = {
  readonly send: (message: PeerMessage) => void
  readonly request: (message: PeerMessage, timeoutMs: number) => Promise<Result<PeerReply, PeerError>>
  readonly close: () => void
}

type OutgoingFrame = { readonly id?: number, readonly message: PeerMessage }

type IncomingFrame = { readonly id?: unknown, readonly reply?: PeerReply, readonly problem?: string }

type PendingRequest = { readonly settle: (result: Result<PeerReply, PeerError>) => void }

const connectTcp = ({ host, port }: PeerAddress): Socket => connect({ host, port })

/** Creates the link; it connects at the first message. */
export const createPeerLink = (options: LinkOptions): PeerLink => {
  const { address, clock, random } = options
  const pending = new Map<number, PendingRequest>()
  let connection: Connection | undefined
  /** A connection that is being opened beside one that may be silent. */
  let successor: Connection | undefined
  let isReady = false
  let queue: OutgoingFrame[] = []
  let nextId = 1
  let failures = 0
  let retryAt = -Infinity
  let lastUsedAt = clock.now()
  let idleTimer: Timer | undefined
  let unansweredSince: number | undefined

  const failPending = (error: PeerError): void => {
    for (const { settle } of [...pending.values()]) settle(failure(error))
  }

  const onClose = (reason: string): void => {
    if (!isReady) failures += 1
    connection = undefined
    successor?.close()
    isReady = false
    unansweredSince = undefined
    queue = []
    idleTimer?.cancel()
    // Without backoff, each router would dial a peer that is down at each
    // heartbeat; the jitter keeps the fleet from dialling it at the same moment.
    const ceiling = Math.min(options.maximumBackoffMs, options.initialBackoffMs * 2 ** Math.max(0, failures - 1))
    retryAt = failures === 0 ? clock.now() : clock.now() + ceiling * (0.5 + random.next() / 2)
    failPending({ kind: 'unreachable', message: reason })
  }

  const checkIdle = (): void => {
    const idleMs = clock.now() - lastUsedAt
    if (pending.size === 0 && idleMs >= options.idleTimeoutMs) {
      connection?.close()
      return options.onIdle()
    }
    idleTimer = clock.setTimer(Math.max(1, options.idleTimeoutMs - idleMs), checkIdle)
  }

  const onReady = (): void => {
    isReady = true
    failures = 0
    const waiting = queue
    queue = []
    for (const frame of waiting) connection?.send(frame, frame.message.kind)
    checkIdle()
  }

  const onFrame = (frame: unknown): void => {
    unansweredSince = undefined
    const { id, reply, problem } = frame as IncomingFrame
    const request = typeof id === 'number' ? pending.get(id) : undefined
    if (request === undefined) return
    if (reply === undefined) return request.settle(failure({ kind: 'unhandled', message: String(problem) }))
    request.settle(success(reply))
  }

  /** Node.js throws for an address with no such port, which another build may send in a heartbeat. */
  const openSocket = (): Socket | undefined => {
    try {
      return (options.openSocket ?? connectTcp)(address)
    } catch (error) {
      onClose(error instanceof Error ? error.message : 'no socket could be opened')
      return undefined
    }
  }

  /** Opens a connection, whose events count for the part that it has then: it may have become the successor, or have been replaced. */
  const open = (): Connection | undefined => {
    const socket = openSocket()
    if (socket === undefined) return undefined
    const limit = clock.setTimer(options.connectTimeoutMs, () => socket.destroy())
    socket.once('connect', limit.cancel)
    socket.once('close', limit.cancel)
    const opened: Connection = createConnection({
      ...options,
      socket,
      role: 'dialer',
      onReady: () => opened === successor ? takeOver(opened) : onReady(),
      onFrame: (frame) => { if (opened === connection) onFrame(frame) },
      onClose: (reason) => {
        if (opened === successor) successor = undefined
        else if (opened === connection) onClose(reason)
      }
    })
    return opened
  }

  const dial = (): void => { connection = open() }

  const isSuspect = (): boolean => unansweredSince !== undefined && clock.now() - unansweredSince >= options.suspectTimeoutMs

  const takeOver = (opened: Connection): void => {
    successor = undefined
    // The connection was slow, not silent.
    if (!isSuspect()) return opened.close()
    const silent = connection
    connection = opened
    unansweredSince = undefined
    silent?.close()
    failPending({ kind: 'unreachable', message: 'the connection went silent and was replaced' })
  }

  const replaceIfSuspect = (): void => {
    if (successor === undefined && isReady && isSuspect()) successor = open()
  }

  // When the network drops packets, TCP keeps the connection for many minutes and
  // retransmits ever more rarely, so the peer would stay unreachable long after the
  // network has recovered. Each frame is acknowledged within a short time; without
  // that, the connection is closed and the next message opens a new one.
  const closeIfStalled = (): void => {
    if (unansweredSince === undefined || clock.now() - unansweredSince < options.stallTimeoutMs) return
    connection?.close()
  }

  const transmit = (frame: OutgoingFrame): 'sent' | 'unreachable' => {
    lastUsedAt = clock.now()
    closeIfStalled()
    replaceIfSuspect()
    if (connection === undefined && clock.now() < retryAt) return 'unreachable'
    if (connection === undefined) dial()
    if (connection === undefined) return 'unreachable'
    if (isReady) {
      unansweredSince ??= clock.now()
      return connection?.send(frame, frame.message.kind) === 'sent' ? 'sent' : 'unreachable'
    }
    if (queue.length >= options.maximumQueueLength) return 'unreachable'
    queue.push(frame)
    return 'sent'
  }

  const request: PeerLink['request'] = (message, timeoutMs) => new Promise((resolve) => {
    const id = nextId++
    const settle = (result: Result<PeerReply, PeerError>): void => {
      if (!pending.delete(id)) return
      timer.cancel()
      resolve(result)
    }
    const timer = clock.setTimer(timeoutMs, () => settle(failure({ kind: 'timeout' })))
    pending.set(id, { settle })
    if (transmit({ id, message }) === 'unreachable') settle(failure({ kind: 'unreachable', message: 'message not sent: no connection to the peer, or its send queue is full' }))
  })

  return {
    send: (message) => { transmit({ message }) },
    request,
    close: () => {
      idleTimer?.cancel()
      connection?.close()
      failPending({ kind: 'unreachable', message: 'the peer transport was closed before the reply was received' })
    }
  }
}
