/**
 * Lists the client accounts that use far more of a full service than the others do.
 * Load pattern: one account sends many times its usual while the others send theirs.
 */
import { computeWeightedUsage } from '../selectNextAccount/index.js'
import type { QueuedContender } from '../selectOverShareAccount/index.js'

/** Multiple of the others' mean use from which an account is over its share; below, the difference is the chance of single requests. */
const OVER_SHARE_FACTOR = 2

/** Work done and work waiting of an account, divided by its weight. */
const measureUse = (contender: QueuedContender): number => computeWeightedUsage({ ...contender, usage: contender.usage + contender.queuedTokens })

/**
 * Lists the accounts whose use is over twice the mean use of the others, the largest first.
 *
 * @param contenders - Accounts with waiting requests, each listed once.
 * @returns Their names; empty for a single account, which takes nothing from others.
 *
 * @example
 * listOverShareAccounts([
 *   { clientAccount: 'busy', weight: 1, usage: 900, waitingSince: 1, queuedTokens: 0 },
 *   { clientAccount: 'calm', weight: 1, usage: 10, waitingSince: 2, queuedTokens: 0 }
 * ]) // => ['busy']
 */
export const listOverShareAccounts = (contenders: readonly QueuedContender[]): readonly string[] => {
  if (contenders.length < 2) return []
  const uses = contenders.map((contender) => ({ clientAccount: contender.clientAccount, use: measureUse(contender) }))
  const total = uses.reduce((sum, { use }) => sum + use, 0)
  return uses
    .filter(({ use }) => use > OVER_SHARE_FACTOR * (total - use) / (contenders.length - 1))
    .sort((left, right) => right.use - left.use)
    .map(({ clientAccount }) => clientAccount)
}
