/** Measures the load limit on the records of backend servers: which requests arrived at a server that held too many. */
import type { BackendRecord, BackendStandIn } from '../../../platform/standIn/createBackendStandIn/index.js'

/** The promise: no server holds more than this multiple of the mean of its service, plus the slack. */
const LIMIT_FACTOR = 2
const LIMIT_SLACK = 3
const WINDOW_MS = 5_000
const WINDOW_STEP_MS = 500

export type LoadLimitResult = {
  readonly requests: number
  readonly overLimit: number
  /** Highest share of requests over the limit in any window of five seconds. */
  readonly worstShare: number
}

export type Arrival = { readonly at: number, readonly isOverLimit: boolean }

/** Whether a server that held `loads[index]` requests when one more arrived was over the limit with it. */
export const isOverLimit = (loads: readonly number[], index: number): boolean => {
  const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length
  return loads[index]! + 1 > LIMIT_FACTOR * mean + LIMIT_SLACK
}

export const summarizeArrivals = (arrivals: readonly Arrival[]): LoadLimitResult => {
  const first = arrivals[0]?.at ?? 0
  const last = arrivals.at(-1)?.at ?? 0
  let worstShare = 0
  for (let from = first; from === first || from + WINDOW_MS <= last; from += WINDOW_STEP_MS) {
    const inWindow = arrivals.filter(({ at }) => at >= from && at < from + WINDOW_MS)
    worstShare = Math.max(worstShare, inWindow.filter(({ isOverLimit: isOver }) => isOver).length / Math.max(1, inWindow.length))
  }
  return { requests: arrivals.length, overLimit: arrivals.filter(({ isOverLimit: isOver }) => isOver).length, worstShare }
}

const countHeld = (records: readonly BackendRecord[], at: number): number =>
  records.filter(({ isRun, arrivedAt, endedAt = Infinity }) => isRun && arrivedAt < at && endedAt > at).length

/** Measures the servers of one service, from the given time on. */
export const measureLoadLimit = (backends: readonly BackendStandIn[], fromMs: number): LoadLimitResult => {
  const records = backends.map((backend) => backend.records())
  const arrivals = records.flatMap((all, index) => all
    .filter(({ isRun, arrivedAt }) => isRun && arrivedAt >= fromMs)
    .map(({ arrivedAt }): Arrival => ({ at: arrivedAt, isOverLimit: isOverLimit(records.map((others) => countHeld(others, arrivedAt)), index) })))
  return summarizeArrivals([...arrivals].sort((left, right) => left.at - right.at))
}
