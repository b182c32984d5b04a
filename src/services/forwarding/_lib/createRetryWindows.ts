/** Limits retries to this node's share of the fleet's retry budget, for each service separately. */
import { computeRetryShare } from '../../../decisions/computeRetryShare/index.js'
import { emptyRetryWindow, grantRetry } from '../../../decisions/grantRetry/index.js'
import { recordSend } from '../../../decisions/recordSend/index.js'
import type { RetrySource, RetryWindow, RetryWindowLimits } from '../../../decisions/grantRetry/index.js'
import type { Clock, Logger, RetryUsage } from '../../../types/index.js'

export type RetryWindows = {
  readonly recordFirstSend: (service: string) => void
  /** Takes one retry from the budget; returns false when the budget is used up. */
  readonly takeRetry: (service: string) => boolean
  readonly canRetry: (service: string) => boolean
  /** What this node has used, and what it takes for its share. */
  readonly describe: (service: string) => RetryUsage
  /** One entry for each service that got requests. */
  readonly list: () => readonly RetryUsage[]
}

export type RetryWindowsDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly logger: Pick<Logger, 'info' | 'warn'>
}

export type RetryWindowsOptions = {
  readonly readLimits: () => RetryWindowLimits
  /** Nodes among which the constant is divided; `undefined` while unknown. */
  readonly countNodes: () => number | undefined
  /** Whether the fleet starts for the first time, so that no process ran before this one. */
  readonly isFirstStart: boolean
}

/** Creates the budgets of a process that starts now. */
export const createRetryWindows = ({ clock, logger }: RetryWindowsDependencies, { readLimits, countNodes, isFirstStart }: RetryWindowsOptions): RetryWindows => {
  const startedAt = clock.now()
  const windows = new Map<string, RetryWindow>()
  const usedUp = new Set<string>()
  const read = (service: string): RetryWindow => windows.get(service) ?? emptyRetryWindow
  const updateWindow = (service: string, kind: 'first' | RetrySource): void => { windows.set(service, recordSend(read(service), kind, readLimits(), clock.now())) }

  const computeShare = (nodes: number | undefined): number =>
    computeRetryShare(readLimits(), { runningMs: isFirstStart ? Infinity : clock.now() - startedAt, nodes })

  const describe = (service: string): RetryUsage => {
    const { windowMs } = readLimits()
    const now = clock.now()
    const { requests, retries } = read(service)
    const countRecent = (times: readonly number[]): number => times.filter((time) => time >= now - windowMs).length
    const nodes = countNodes()
    return { service, requests: countRecent(requests), retries: countRecent(retries.ratio) + countRecent(retries.constant), constantShare: computeShare(nodes), nodes, sinceMs: now - startedAt }
  }

  /** Logs when a budget is used up and when it is available again. */
  const logChange = (service: string, isGranted: boolean): void => {
    if (isGranted !== usedUp.has(service)) return
    const { sinceMs, ...usage } = describe(service)
    const fields = { ...usage, sinceMs: Math.round(sinceMs) }
    if (isGranted) {
      usedUp.delete(service)
      logger.info('retry budget available again', fields)
    } else {
      usedUp.add(service)
      logger.warn('retry budget used up', fields)
    }
  }

  const grant = (service: string): RetrySource | undefined => {
    const source = grantRetry(read(service), readLimits(), computeShare(countNodes()), clock.now())
    logChange(service, source !== undefined)
    return source
  }

  return {
    recordFirstSend: (service) => updateWindow(service, 'first'),
    canRetry: (service) => grant(service) !== undefined,
    takeRetry: (service) => {
      const source = grant(service)
      if (source === undefined) return false
      updateWindow(service, source)
      return true
    },
    describe,
    list: () => [...windows.keys()].map(describe)
  }
}
