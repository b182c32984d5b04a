/** Limits retries to this node's share of the fleet's retry budget, for each service separately. */
import { grantRetry } from '../../../decisions/grantRetry/index.js'
import { noteSend } from '../../../decisions/noteSend/index.js'
import type { RetryWindow, RetryWindowLimits } from '../../../decisions/grantRetry/index.js'
import type { Clock } from '../../../types/index.js'

export type RepeatBudgets = {
  readonly noteFirst: (service: string) => void
  /** Takes one retry from the budget; returns false when the budget is used up. */
  readonly spend: (service: string) => boolean
  readonly canSpend: (service: string) => boolean
}

const EMPTY: RetryWindow = { requests: [], retries: [] }

/** Creates the budgets; `countNodes` returns the number of nodes that share them. */
export const createRepeatBudgets = (readLimits: () => RetryWindowLimits, countNodes: () => number, clock: Clock): RepeatBudgets => {
  const budgets = new Map<string, RetryWindow>()
  const read = (service: string): RetryWindow => budgets.get(service) ?? EMPTY
  const note = (service: string, kind: 'first' | 'repeat'): void => { budgets.set(service, noteSend(read(service), kind, readLimits(), clock.now())) }
  const canSpend = (service: string): boolean => grantRetry(read(service), readLimits(), countNodes(), clock.now())
  return {
    noteFirst: (service) => note(service, 'first'),
    canSpend,
    spend: (service) => {
      if (!canSpend(service)) return false
      note(service, 'repeat')
      return true
    }
  }
}
