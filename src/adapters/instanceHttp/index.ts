/** Sends requests to backend servers over HTTP/1.1, and probes whether a connection to one can be opened. */
import { connect } from 'node:net'
import type { ContainedErrorReporter } from '../containedEvents/index.js'
import { createExchangeHttp, type SlowUpload } from '../exchangeHttp/index.js'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import type { BackendInstance, Clock, GatewayDialect, InstanceClient, Logger, PeerAddress } from '../../types/index.js'

export type InstanceHttpOptions = {
  readonly clock: Clock
  readonly dialect: Pick<GatewayDialect, 'encodeAttempt' | 'decodeAnswer'>
  readonly connectTimeoutMs?: number
  /** Log for backend servers that don't take the bodies of requests; not observed when omitted. */
  readonly uploadLogger?: Pick<Logger, 'info' | 'warn'> | undefined
  readonly reportError?: ContainedErrorReporter | undefined
  /** Returns where this node reaches the address of a backend server; that address itself by default. */
  readonly resolveAddress?: (address: PeerAddress) => PeerAddress
}

/**
 * Connect timeout. TCP retransmits a lost first packet only after a second; it
 * is faster to try another server. A round trip to another zone takes about
 * 10 ms, and the processor of a small VM may pause for up to 100 ms.
 */
const CONNECT_TIMEOUT_MS = 200

/**
 * Creates the client of one node.
 *
 * @param options - Clock, dialect, and the connect timeout in milliseconds.
 * @returns The client; connections are opened as needed.
 *
 * @example
 * const client = createInstanceHttp({ clock, dialect })
 * client.send(attempt, listener).abort()
 */
export const createInstanceHttp = (options: InstanceHttpOptions): InstanceClient => {
  const { clock, dialect, uploadLogger, reportError, connectTimeoutMs = CONNECT_TIMEOUT_MS, resolveAddress = (address) => address } = options
  const uploadListener = uploadLogger === undefined
    ? undefined
    : {
        onSlow: ({ key, unsentBytes, unansweredBytes, stalledMs }: SlowUpload) => uploadLogger.warn('backend server reads slowly', { backendServer: key, unsentBytes, unansweredBytes, stalledMs: Math.round(stalledMs) }),
        onReading: (key: string) => uploadLogger.info('backend server reads again', { backendServer: key })
      }
  const exchanges = createExchangeHttp({ clock, decodeAnswer: dialect.decodeAnswer, connectTimeoutMs, uploadListener, reportError })

  const probe = (instance: BackendInstance): Promise<boolean> => new Promise((resolve) => {
    const socket = connect(resolveAddress(instance.address))
    const finish = (isReached: boolean): void => {
      limit.cancel()
      socket.destroy()
      resolve(isReached)
    }
    const limit = clock.setTimer(connectTimeoutMs, () => finish(false))
    socket.once('connect', () => finish(true))
    socket.once('error', () => finish(false))
  })

  return {
    send: (attempt, listener) => exchanges.send({
      key: formatInstanceKey(attempt.instance),
      address: resolveAddress(attempt.instance.address),
      method: attempt.request.method,
      target: attempt.request.target,
      headers: dialect.encodeAttempt(attempt),
      body: attempt.body
    }, listener),
    isReadingSlowly: (instance) => exchanges.isReadingSlowly(formatInstanceKey(instance)),
    countUploadBytes: exchanges.countUploadBytes,
    probe,
    retain: exchanges.retain,
    close: exchanges.close
  }
}
