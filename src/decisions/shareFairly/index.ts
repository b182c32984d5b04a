/** Whose waiting request is next when a backend pool is full. */

/** A client account with at least one waiting request. */
export type Contender = {
  readonly clientAccount: string
  /** Its share relative to the others'. Above 0. */
  readonly weight: number
  /** Work of the whole fleet for it lately, in tokens. */
  readonly usage: number
  /** Monotonic milliseconds at which its oldest waiting request came. */
  readonly waitingSince: number
}

/** Work over weight: equal for all contenders when shares are fair. */
export const measureUse = (contender: Contender): number => contender.usage / contender.weight

const compareContenders = (left: Contender, right: Contender): number => {
  const byUse = measureUse(left) - measureUse(right)
  if (byUse !== 0) return byUse
  return left.waitingSince - right.waitingSince
}

/**
 * Picks the contender that had the least work for its weight; of equals the
 * one that has waited longest.
 *
 * Work and not requests is compared, so an account gains nothing by cutting
 * its work into small requests, nor loses by sending large ones.
 *
 * @param contenders - Accounts with waiting requests, in any order.
 * @returns The account to serve next; `undefined` when nobody waits.
 *
 * @example
 * shareFairly([
 *   { clientAccount: 'busy', weight: 1, usage: 500, waitingSince: 1 },
 *   { clientAccount: 'calm', weight: 1, usage: 10, waitingSince: 2 }
 * ]) // => 'calm'
 */
export const shareFairly = (contenders: readonly Contender[]): string | undefined => {
  let next: Contender | undefined
  for (const contender of contenders) {
    if (next === undefined || compareContenders(contender, next) < 0) next = contender
  }
  return next?.clientAccount
}
