/**
 * Bounds the volume of the log: each event has a maximum number of lines per
 * second, and the lines above it are counted in a line of their own. Otherwise
 * a failure of all requests would use up the processor time for logging.
 */
import { gatewayEvents } from '../../types/gatewayEvents.js'
import type { EventDescription } from '../../types/gatewayEvents.js'
import type { Clock, LogFields, Logger, Metrics } from '../../types/index.js'

export type BoundedLoggerDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly logger: Logger
  readonly metrics?: Pick<Metrics, 'count'>
}

const WINDOW_MS = 1_000
/** Lines per second for an event without a description, which a test reports as an error. */
const DEFAULT_LINES_PER_SECOND = 50

const readLinesPerSecond = (event: string): number => (gatewayEvents as Readonly<Record<string, EventDescription>>)[event]?.linesPerSecond ?? DEFAULT_LINES_PER_SECOND

/**
 * Creates a logger with bounded volume.
 *
 * @param dependencies - Clock, the logger that writes the lines, and the metrics that count the lines left out.
 * @returns A logger with the same levels.
 *
 * @example
 * createBoundedLogger({ clock, logger }).info('request sent', { requestId: 'r1' })
 */
export const createBoundedLogger = ({ clock, logger, metrics }: BoundedLoggerDependencies): Logger => {
  let windowStart = clock.now()
  let written = new Map<string, number>()
  let leftOut = new Map<string, number>()

  const reportLeftOut = (): void => {
    if (leftOut.size === 0) return
    const counts = Object.fromEntries([...leftOut].map(([event, count]) => [`count of ${event}`, count]))
    leftOut = new Map()
    logger.warn('log lines left out', counts)
  }

  const admit = (event: string): boolean => {
    const now = clock.now()
    if (now - windowStart >= WINDOW_MS) {
      windowStart = now
      written = new Map()
      reportLeftOut()
    }
    const lines = written.get(event) ?? 0
    if (lines < readLinesPerSecond(event)) {
      written.set(event, lines + 1)
      return true
    }
    leftOut.set(event, (leftOut.get(event) ?? 0) + 1)
    metrics?.count('log_lines_left_out', { event })
    return false
  }

  const bound = (write: (event: string, fields?: LogFields) => void) => (event: string, fields?: LogFields): void => {
    if (admit(event)) write(event, fields)
  }

  return { error: bound(logger.error), warn: bound(logger.warn), info: bound(logger.info), debug: bound(logger.debug) }
}
