/** Selects the client account whose waiting request is sent next when a service is full (weighted fair queuing). */

/** A client account with at least one waiting request. */
export type AccountCandidate = {
  readonly clientAccount: string
  /** Its share relative to those of other accounts. Greater than 0. */
  readonly weight: number
  /** Recent work of the whole fleet for the account, in tokens. */
  readonly usage: number
  /** Arrival time of its oldest waiting request, in monotonic milliseconds. */
  readonly waitingSince: number
}

/** Work divided by weight; equal for all accounts when shares are fair. */
export const computeWeightedUsage = (candidate: AccountCandidate): number => candidate.usage / candidate.weight

const compareCandidates = (left: AccountCandidate, right: AccountCandidate): number => {
  const byUsage = computeWeightedUsage(left) - computeWeightedUsage(right)
  if (byUsage !== 0) return byUsage
  return left.waitingSince - right.waitingSince
}

/**
 * Selects the account with the least recent work relative to its weight; of equal
 * ones the account that has waited longest.
 *
 * Tokens are compared, not requests, so an account gains nothing by splitting its
 * work into small requests and loses nothing by sending large ones.
 *
 * @param candidates - Accounts with waiting requests, in any order.
 * @returns The account to serve next; `undefined` when none is waiting.
 *
 * @example
 * selectNextAccount([
 *   { clientAccount: 'busy', weight: 1, usage: 500, waitingSince: 1 },
 *   { clientAccount: 'calm', weight: 1, usage: 10, waitingSince: 2 }
 * ]) // => 'calm'
 */
export const selectNextAccount = (candidates: readonly AccountCandidate[]): string | undefined => {
  let next: AccountCandidate | undefined
  for (const candidate of candidates) {
    if (next === undefined || compareCandidates(candidate, next) < 0) next = candidate
  }
  return next?.clientAccount
}
