/** Formats the summary of a load run as tables for a terminal. */
import Table from 'cli-table3'
import type { LatencySummary, LoadSummary, OutcomeSummary } from '../createLoadRecorder/index.js'

type Row = readonly (string | number)[]

const LATENCY_NAMES: readonly (readonly [keyof LoadSummary['latencies'], string])[] = [
  ['firstToken', 'first token'],
  ['betweenTokens', 'between tokens'],
  ['wholeAnswer', 'whole answer'],
  ['plainCall', 'plain call'],
  ['sendingDelay', 'sent late by']
]

/**
 * Formats the summary of a load run.
 *
 * @param summary - The summary.
 * @returns Several tables, with times in milliseconds.
 *
 * @example
 * console.log(formatLoadSummary(await runLoad(plan, options)))
 */
export const formatLoadSummary = (summary: LoadSummary): string => [
  `${summary.sent} requests in ${(summary.durationMs / 1000).toFixed(1)} s (${summary.requestsPerSecond.toFixed(1)} a second), ${summary.tokensPerSecond.toFixed(0)} tokens a second, ${summary.skipped} skipped`,
  formatTable(['kind', 'complete', 'refused, not run', 'refused, unknown', 'broken', 'wrong'], listOutcomes(summary)),
  formatTable(['latency (ms)', 'count', 'mean', 'p50', 'p95', 'p99', 'max'], LATENCY_NAMES.map(([name, title]) => describeLatency(title, summary.latencies[name]))),
  formatTable(['cache', 'share', 'of'], [
    ['prompt tokens cached', formatShare(summary.cache.tokenShare), `${summary.cache.promptTokens} tokens`],
    ['returning chats whose history was cached', formatShare(summary.cache.requestShare), `${summary.cache.returning} requests`]
  ]),
  formatTable(['backend server', 'answers'], Object.entries(summary.backendServers)),
  `open answers, fullest model engine over the mean: p50 ${summary.skew.p50.toFixed(2)}, p99 ${summary.skew.p99.toFixed(2)}, max ${summary.skew.max.toFixed(2)} (${summary.skew.samples} samples)`,
  ...Object.keys(summary.reasons).length === 0 ? [] : [formatTable(['outcome and reason', 'count'], Object.entries(summary.reasons))]
].join('\n')

const formatTable = (head: readonly string[], rows: readonly Row[]): string => {
  const table = new Table({ head: [...head], style: { head: [], border: [] } })
  table.push(...rows.map((row) => [...row]))
  return table.toString()
}

const listOutcomes = ({ outcomes, outcomesByKind }: LoadSummary): readonly Row[] => [
  ...Object.entries(outcomesByKind).map(([kind, summary]) => describeOutcomes(kind, summary)),
  describeOutcomes('all', outcomes)
]

const describeOutcomes = (title: string, { complete, refusedNotRun, refusedUnknown, broken, wrong }: OutcomeSummary): Row =>
  [title, complete, refusedNotRun, refusedUnknown, broken, wrong]

const describeLatency = (title: string, { count, mean, p50, p95, p99, max }: LatencySummary): Row =>
  [title, count, ...[mean, p50, p95, p99, max].map((value) => value.toFixed(2))]

const formatShare = (share: number): string => `${(100 * share).toFixed(1)} %`
