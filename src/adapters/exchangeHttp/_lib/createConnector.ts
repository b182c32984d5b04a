/** Opens the sockets of exchanges. */
import { connect } from 'node:net'
import type { buildConnector } from 'undici'
import { containEvents } from '../../containedEvents/index.js'
import type { Clock } from '../../../types/index.js'

type Connector = (target: Pick<buildConnector.Options, 'hostname' | 'port'>, callback: buildConnector.Callback, onThrown: (error: unknown, event: string) => void) => void

const READ_BUFFER_BYTES = 64 * 1024

/**
 * Creates a connector with a connect timeout. undici's own timeouts run on a timer that is
 * up to a second late. The sockets get no TCP keep-alive and no `TCP_USER_TIMEOUT`: both would
 * end a connection that a network only holds up. What a listener throws in an event of the socket
 * is given to `onThrown`.
 */
export const createConnector = (clock: Pick<Clock, 'setTimer'>, timeoutMs: number): Connector => ({ hostname, port }, callback, onThrown) => {
  const options = { host: hostname, port: Number(port), noDelay: true, highWaterMark: READ_BUFFER_BYTES }
  const socket = connect(options)
  containEvents(socket, onThrown)
  const expire = (): void => {
    if (socket.connecting) socket.destroy(Object.assign(new Error(`no connection to ${hostname}:${port} within ${timeoutMs} ms`), { code: 'ETIMEDOUT' }))
  }
  // After a pause of this process timers run before sockets are read, so that one more turn of the event loop shows whether the connection is open.
  const limit = clock.setTimer(timeoutMs, () => { setImmediate(expire) })
  const fail = (error: Error): void => {
    limit.cancel()
    callback(error, null)
  }
  socket.once('error', fail)
  socket.once('connect', () => {
    limit.cancel()
    socket.off('error', fail)
    callback(null, socket)
  })
}
