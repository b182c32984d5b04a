/**
 * Metrics whose library is loaded after the start, for the same reason as a
 * deferred logger: no caller waits for a counter. Nothing is left out of the counts.
 */
import { createDeferredCalls } from '../../kernel/index.js'
import type { DeferredCalls, DeferredCallsOptions } from '../../kernel/index.js'
import type { PromMetrics } from '../promMetrics/index.js'
import type { Metrics } from '../../types/index.js'

export type DeferredMetrics = Metrics & Pick<DeferredCalls<PromMetrics>, 'open'>

/**
 * Creates the metrics.
 *
 * @param options - How and when to load the metrics behind them.
 * @returns Metrics that hold what is counted until then.
 *
 * @example
 * createDeferredMetrics({ load, delayMs: 500, clock, onFailure }).count('gateway_prompt_copies')
 */
export const createDeferredMetrics = (options: DeferredCallsOptions<PromMetrics>): DeferredMetrics => {
  const calls = createDeferredCalls(options)
  return {
    count: (name, labels, by) => calls.run((metrics) => metrics.count(name, labels, by)),
    observe: (name, seconds, labels) => calls.run((metrics) => metrics.observe(name, seconds, labels)),
    readGauge: (name, read) => calls.run((metrics) => metrics.readGauge(name, read)),
    open: calls.open
  }
}
