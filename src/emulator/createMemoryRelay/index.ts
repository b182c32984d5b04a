/**
 * Carries requests between the nodes of one process in memory, as `relayHttp` does between
 * processes, with a delay and with links that a test cuts.
 */
import type { CallerSink, Clock, ExchangeListener, Forwarding, GatewayRefusal, InstanceAnswer, RelayAttempt, RelayClient } from '../../types/index.js'

export type MemoryRelayOptions = {
  readonly clock: Clock
  /** One-way delay in milliseconds. */
  readonly delayMs: number
  /** Returns the node that takes requests under this name; `undefined` when it is down or the link to it is cut. */
  readonly find: (nodeId: string) => Pick<Forwarding, 'begin'> | undefined
}

const UNKNOWN_STATUSES: ReadonlySet<number> = new Set([502, 504])

const composeRefusal = ({ status, reason, servedBy, servedByVersion }: GatewayRefusal): InstanceAnswer => ({
  status,
  ...(servedBy === undefined ? {} : { servedBy, servedByVersion }),
  headers: [],
  requestId: undefined,
  isSigned: false,
  isNotRun: !UNKNOWN_STATUSES.has(status),
  isOtherInstance: false,
  load: undefined,
  contentLength: 0,
  isEventStream: false,
  isEncoded: false,
  backoffMs: undefined,
  isLeaving: false,
  relayRefusal: reason
})

/** Passes the final answer of a node on to the exchange of the node that sent the request. */
const createSink = (listener: ExchangeListener, hasLeft: () => boolean, deliver: (act: () => void) => void): CallerSink => ({
  hasLeft,
  refuse: (refusal) => deliver(() => {
    listener.onHead(composeRefusal(refusal))
    listener.onEnd()
  }),
  complete: (answer, body) => deliver(() => {
    listener.onHead(answer)
    listener.onData(body)
    listener.onEnd()
  }),
  head: (answer) => deliver(() => listener.onHead(answer)),
  data: (bytes) => {
    deliver(() => listener.onData(bytes))
    return true
  },
  onDrain: () => {},
  end: () => deliver(() => listener.onEnd()),
  fail: () => deliver(() => listener.onFailure({ kind: 'broken', message: 'the peer broke off' }))
})

/**
 * Creates the client of one node.
 *
 * @param options - Clock, delay in milliseconds, and how a node is found.
 * @returns The client.
 *
 * @example
 * createMemoryRelay({ clock, delayMs: 5, find: () => node.resolve('forwarding') })
 */
export const createMemoryRelay = ({ clock, delayMs, find }: MemoryRelayOptions): RelayClient => ({
  send: ({ request, body, peer, origin, remainingMs, resumeAfter }: RelayAttempt, listener) => {
    let isAborted = false
    let cancel = (): void => {}
    const after = (act: () => void): void => { clock.setTimer(delayMs, () => { if (!isAborted) act() }) }
    const deliver = (act: () => void): void => after(() => { if (find(peer.nodeId) !== undefined) act() })
    after(() => {
      const node = find(peer.nodeId)
      if (node === undefined) return listener.onFailure({ kind: 'notSent', message: `no link to ${peer.nodeId}` })
      if (!listener.maySend(0)) return listener.onFailure({ kind: 'withdrawn', message: 'not sent' })
      listener.onSent()
      const run = node.begin({ ...request, relay: origin, receivedAt: clock.now(), callerTimeoutMs: remainingMs, lastEventId: resumeAfter }, createSink(listener, () => isAborted, deliver))
      cancel = run.cancel
      run.submit(body)
    })
    return {
      abort: () => {
        isAborted = true
        cancel()
      },
      pause: () => {},
      resume: () => {}
    }
  },
  retain: () => {},
  close: () => {}
})
