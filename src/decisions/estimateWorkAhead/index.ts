/**
 * Estimates how much waiting work of equal priority is served before a request. Load pattern:
 * one account has a long queue at a full service, and a request of another account arrives.
 */
import type { QueuedContender } from '../selectOverShareAccount/index.js'

export type WorkAheadInput = {
  /** The account of the request, with its work that is served before the request. */
  readonly own: Pick<QueuedContender, 'weight' | 'usage' | 'queuedTokens'>
  /** Work of the request in tokens. */
  readonly tokens: number
  readonly others: readonly Pick<QueuedContender, 'weight' | 'usage' | 'queuedTokens'>[]
}

/**
 * Estimates the work ahead: that of the own account, and of each other account what it may
 * use until both have used equally much for their weights.
 *
 * @param input - The accounts with their recent and waiting work.
 * @returns The work in tokens, without that of the request.
 *
 * @example
 * estimateWorkAhead({ own: { weight: 1, usage: 0, queuedTokens: 0 }, tokens: 5, others: [{ weight: 1, usage: 0, queuedTokens: 90 }] }) // => 5
 */
export const estimateWorkAhead = ({ own, tokens, others }: WorkAheadInput): number => {
  const level = (own.usage + own.queuedTokens + tokens) / own.weight
  return others.reduce((sum, { weight, usage, queuedTokens }) => sum + Math.min(queuedTokens, Math.max(0, level * weight - usage)), own.queuedTokens)
}
