/**
 * Metrics whose library is loaded after the start, so that a starting node first
 * answers its callers. Earlier calls are buffered, so that no count is lost.
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
 * @returns Metrics that buffer all calls until then.
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
