/**
 * The handler of last resort of a gateway. An exception that nothing caught has cost the
 * event in which it arose; the other requests go on. What it may have left behind, such as
 * a timer that was not set again, is cleared by a stop in order some minutes later: at a
 * random time, so that the nodes of a fleet that met the same input don't stop together.
 */
import { describeException } from '../../../kernel/index.js'
import type { Clock, LogFields, Logger, Metrics, RandomSource } from '../../../types/index.js'

export type ExceptionHandlerDependencies = {
  readonly clock: Pick<Clock, 'setTimer'>
  readonly random: Pick<RandomSource, 'next'>
  readonly logger: Pick<Logger, 'error' | 'warn'>
  readonly metrics: Pick<Metrics, 'count'>
  readonly readOpen: () => number
  /** Time since the configuration was confirmed to be the newest; a node that starts now gets one only from where this came from. */
  readonly readConfirmedAgeMs: () => number
  /** Called when the process is to be stopped in order. */
  readonly onStopDue: () => void
}

/** An exception that nothing caught, and where Node.js reported it. */
export type UnexpectedException = { readonly cause: string, readonly error: unknown }

/** The stop comes after a time from the first to the second value. */
const MINIMUM_DELAY_MS = 120_000
const MAXIMUM_DELAY_MS = 600_000
/** With an older configuration the source may be out of reach, and the stop is postponed. */
const MAXIMUM_CONFIRMED_AGE_MS = 5_000
/** After as many postponements the node stops nevertheless: the old configuration may be what the exception has left behind. */
const MAXIMUM_POSTPONEMENTS = 3

export const createExceptionHandler = ({ clock, random, logger, metrics, readOpen, readConfirmedAgeMs, onStopDue }: ExceptionHandlerDependencies): ((exception: UnexpectedException) => void) => {
  let count = 0

  const planStop = (postponements: number): LogFields => {
    const delayMs = MINIMUM_DELAY_MS + random.next() * (MAXIMUM_DELAY_MS - MINIMUM_DELAY_MS)
    clock.setTimer(delayMs, () => {
      if (readConfirmedAgeMs() <= MAXIMUM_CONFIRMED_AGE_MS || postponements >= MAXIMUM_POSTPONEMENTS) return onStopDue()
      logger.warn('stop postponed', { postponements: postponements + 1, ...planStop(postponements + 1) })
    })
    return { stopInMs: Math.round(delayMs) }
  }

  return ({ cause, error }) => {
    count += 1
    metrics.count('contained_errors', { part: 'process' })
    logger.error('exception not caught', { cause, ...describeException(error), count, open: readOpen(), ...(count === 1 ? planStop(0) : {}) })
  }
}
