/**
 * Keeps what a listener throws in an event of a socket or of a library from ending the process:
 * it ends the exchange or the connection that the event belongs to. Without this, Node.js takes
 * it for an uncaught exception, and every request of the process ends.
 */
import { buildConnector } from 'undici'
import { describeError } from '../../kernel/index.js'
import type { Logger, Metrics } from '../../types/index.js'

/** What is logged of the exchange or connection that is ended. */
export type ContainedSubject = { readonly adapter: string, readonly remote?: string | undefined, readonly request?: string | undefined }

/** Reports an error in an event; never throws. */
export type ContainedErrorReporter = (subject: ContainedSubject, event: string, error: unknown) => void

/**
 * Creates the reporter of a process: one line and one count for each error.
 *
 * @param dependencies - Logger and metrics.
 * @returns The reporter.
 *
 * @example
 * createContainedErrorReporter({ logger, metrics })({ adapter: 'peerTcp', remote }, 'data', error)
 */
export const createContainedErrorReporter = ({ logger, metrics }: { readonly logger: Pick<Logger, 'error'>, readonly metrics?: Pick<Metrics, 'count'> | undefined }): ContainedErrorReporter => (subject, event, error) => {
  metrics?.count('contained_errors', { part: subject.adapter })
  logger.error('event failed', { ...subject, event, reason: describeError(error) })
}

/**
 * Contains the events of an emitter, also an `error` that nobody listens to. Listeners after the
 * one that threw don't get the event.
 *
 * @param emitter - Its `emit` is replaced.
 * @param onThrown - Reports the error and ends the exchange or connection.
 *
 * @example
 * containEvents(socket, (error, event) => { report({ adapter: 'peerTcp' }, event, error); socket.destroy() })
 */
export const containEvents = (emitter: object, onThrown: (error: unknown, event: string, values: readonly unknown[]) => void): void => {
  const target = emitter as { emit: (event: string | symbol, ...values: unknown[]) => boolean }
  const emit = target.emit.bind(emitter)
  target.emit = (event, ...values) => {
    try {
      return emit(event, ...values)
    } catch (error) {
      onThrown(error, String(event), values)
      return true
    }
  }
}

/**
 * Creates a connector for a pool whose sockets are contained: what a listener throws ends the
 * connection, and fails the call on it with the error.
 *
 * @param options - Options of undici's connector.
 * @param report - Told of the error.
 * @returns The connector.
 *
 * @example
 * new Pool(url, { connect: createContainedConnector({ timeout: 500 }) })
 */
export const createContainedConnector = (options: buildConnector.BuildOptions, report?: (event: string, error: unknown) => void): buildConnector.connector => {
  const connect = buildConnector(options)
  return (target, callback) => connect(target, (...result) => {
    // Without a connection undici passes the error alone, whatever its types say.
    const socket = result[1] ?? undefined
    if (socket !== undefined) {
      containEvents(socket, (error, event) => {
        report?.(event, error)
        socket.destroy(error instanceof Error ? error : new Error(String(error)))
      })
    }
    callback(...result)
  })
}
