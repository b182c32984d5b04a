/** Limits retries to this node's share of the fleet's retry budget, for each service separately. */
import { grantRetry } from '../../../decisions/grantRetry/index.js'
import { recordSend } from '../../../decisions/recordSend/index.js'
import type { RetryWindow, RetryWindowLimits } from '../../../decisions/grantRetry/index.js'
import type { Clock } from '../../../types/index.js'

export type RetryWindows = {
  readonly recordFirstSend: (service: string) => void
  /** Takes one retry from the budget; returns false when the budget is used up. */
  readonly takeRetry: (service: string) => boolean
  readonly canRetry: (service: string) => boolean
}

const EMPTY: RetryWindow = { requests: [], retries: [] }

/** Creates the budgets; `countNodes` returns the number of nodes that share them. */
export const createRetryWindows = (readLimits: () => RetryWindowLimits, countNodes: () => number, clock: Clock): RetryWindows => {
  const windows = new Map<string, RetryWindow>()
  const read = (service: string): RetryWindow => windows.get(service) ?? EMPTY
  const updateWindow = (service: string, kind: 'first' | 'retry'): void => { windows.set(service, recordSend(read(service), kind, readLimits(), clock.now())) }
  const canRetry = (service: string): boolean => grantRetry(read(service), readLimits(), countNodes(), clock.now())
  return {
    recordFirstSend: (service) => updateWindow(service, 'first'),
    canRetry,
    takeRetry: (service) => {
      if (!canRetry(service)) return false
      updateWindow(service, 'retry')
      return true
    }
  }
}
