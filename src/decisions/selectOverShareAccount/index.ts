/** Selects the client account whose queued request is rejected when the queue is full. */
import { computeWeightedUsage } from '../selectNextAccount/index.js'
import type { AccountCandidate } from '../selectNextAccount/index.js'

/** An account with waiting requests and their size. */
export type QueuedContender = AccountCandidate & {
  /** Size of its queued requests, in tokens. */
  readonly queuedTokens: number
}

/**
 * Selects the account that is furthest over its fair share. Usage and queued
 * work both count, so that a burst that has not been served yet is included.
 *
 * @param contenders - Accounts with waiting requests, including that of the new request.
 * @returns The account whose request is rejected; `undefined` when there are no accounts.
 *
 * @example
 * selectOverShareAccount([
 *   { clientAccount: 'busy', weight: 1, usage: 0, waitingSince: 1, queuedTokens: 900 },
 *   { clientAccount: 'calm', weight: 1, usage: 10, waitingSince: 2, queuedTokens: 10 }
 * ]) // => 'busy'
 */
export const selectOverShareAccount = (contenders: readonly QueuedContender[]): string | undefined => {
  const measureUseWithQueue = (contender: QueuedContender): number => computeWeightedUsage({ ...contender, usage: contender.usage + contender.queuedTokens })
  let worst: { readonly clientAccount: string, readonly use: number } | undefined
  for (const contender of contenders) {
    const use = measureUseWithQueue(contender)
    if (worst === undefined || use > worst.use) worst = { clientAccount: contender.clientAccount, use }
  }
  return worst?.clientAccount
}
