/**
 * Keeps an error in one step of a request from ending the process: it ends that request. The state of
 * a request is its own, and its attempts give back what they took, so that other requests can go on.
 */
import { describeError } from '../../../kernel/index.js'
import type { Logger, Metrics } from '../../../types/index.js'

export type ErrorContainmentDependencies = { readonly logger: Pick<Logger, 'error'>, readonly metrics: Pick<Metrics, 'count'> }

export type ErrorContainment = {
  /** Returns a step that doesn't throw; if the given one does, the request ends. */
  readonly guard: <Values extends readonly unknown[]>(step: (...values: Values) => void) => (...values: Values) => void
  /** Reports an error that was caught; returns its description. */
  readonly report: (error: unknown) => string
}

/** Creates the containment of one request; `end` gives it its final answer, and `abandon` forgets it if that fails too. */
export const createErrorContainment = ({ logger, metrics }: ErrorContainmentDependencies, { requestId, end, abandon }: { readonly requestId: string, readonly end: () => void, readonly abandon: () => void }): ErrorContainment => {
  let isEnding = false

  const report = (error: unknown): string => {
    const reason = describeError(error)
    metrics.count('contained_errors', { part: 'request' })
    logger.error('request step failed', { requestId, reason })
    return reason
  }

  const run = (step: () => void): void => {
    try {
      step()
    } catch (error) {
      report(error)
      if (isEnding) return abandon()
      isEnding = true
      run(end)
    }
  }

  return { guard: (step) => (...values) => run(() => step(...values)), report }
}
