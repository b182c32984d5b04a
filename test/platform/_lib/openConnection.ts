/** A caller's connection that tells a refused connection from a request that was sent and got no whole answer. */
import { connect } from 'node:net'
import { HOST, KEY } from '../../../platform/standIn/createPlatform/index.js'
import { nextRequestId } from '../../../platform/standIn/callGateway/index.js'
import type { PeerAddress } from '../../../src/types/index.js'

export type RequestOutcome =
  | { readonly kind: 'notConnected' }
  | { readonly kind: 'answered', readonly status: number }
  | { readonly kind: 'unanswered', readonly code: string | undefined, readonly ms: number, readonly receivedBytes: number }

export type CallerConnection = {
  /** Sends an order as a whole, and resolves when its answer is complete or the connection has ended. One at a time. */
  readonly sendOrder: () => Promise<RequestOutcome>
  /** Sends bytes as they are. */
  readonly write: (text: string) => void
  readonly close: () => void
}

const HEAD_END = '\r\n\r\n'

export const formatOrder = (): string =>
  `POST /order/1 HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${nextRequestId()}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer ${KEY}\r\nContent-Length: 5\r\n\r\nloafs`

const readStatus = (text: string): number | undefined => {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0)
  return text.length >= headEnd + HEAD_END.length + length ? Number(text.slice(9, 12)) : undefined
}

/** Opens a connection; what is sent before it is open is sent then. */
export const openConnection = ({ host, port }: PeerAddress): CallerConnection => {
  let received = ''
  let isConnected = false
  let hasEnded = false
  let code: string | undefined
  let report: (() => void) | undefined
  const socket = connect({ host, port, noDelay: true }, () => { isConnected = true })
  socket.setEncoding('latin1')
  socket.on('data', (text) => {
    received += String(text)
    report?.()
  })
  socket.on('error', (error: NodeJS.ErrnoException) => { code = error.code })
  for (const event of ['end', 'close']) {
    socket.on(event, () => {
      hasEnded = true
      report?.()
    })
  }
  return {
    sendOrder: () => new Promise((resolve) => {
      const sentAt = performance.now()
      received = ''
      report = () => {
        const status = readStatus(received)
        if (status === undefined && !hasEnded) return
        report = undefined
        if (status !== undefined) resolve({ kind: 'answered', status })
        else resolve(isConnected ? { kind: 'unanswered', code, ms: Math.round(performance.now() - sentAt), receivedBytes: received.length } : { kind: 'notConnected' })
      }
      if (hasEnded) return report()
      socket.write(formatOrder())
    }),
    write: (text) => { socket.write(text) },
    close: () => { socket.destroy() }
  }
}
