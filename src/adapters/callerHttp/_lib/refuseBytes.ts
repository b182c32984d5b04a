/** Ends a connection whose bytes are no HTTP request. The state of its parser is lost, so nothing more is read from it. */
import { STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'

/** By the code of the parser's error. */
const STATUSES: Readonly<Partial<Record<string, number>>> = { ERR_HTTP_REQUEST_TIMEOUT: 408, HPE_HEADER_OVERFLOW: 431 }
const BAD_REQUEST_STATUS = 400

/**
 * Answers the bytes, or ends the connection without an answer.
 *
 * @param isServing - Whether an earlier request on the connection is being served: its caller would take the answer for its own.
 */
export const refuseBytes = (socket: Duplex, { code = '' }: NodeJS.ErrnoException, isServing: boolean): void => {
  const status = STATUSES[code] ?? BAD_REQUEST_STATUS
  if (!isServing && socket.writable) socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
  // At once: the rest of a request that was answered 408 must not be read and run any more.
  socket.destroy()
}
