/** Whose waiting request is refused when the queue is full. */
import { measureUse } from '../shareFairly/index.js'
import type { Contender } from '../shareFairly/index.js'

/** An account that waits, with what it has in the queue. */
export type QueuedContender = Contender & {
  /** Its work in the queue, in tokens. */
  readonly queuedTokens: number
}

/**
 * Finds the account that is furthest over its share, work done and work
 * waiting taken together. Counting what waits means that a surge that has not
 * been served yet is seen as well.
 *
 * @param contenders - Accounts with waiting requests, the newcomer included.
 * @returns The account to refuse; `undefined` when there are none.
 *
 * @example
 * findOverShare([
 *   { clientAccount: 'busy', weight: 1, usage: 0, waitingSince: 1, queuedTokens: 900 },
 *   { clientAccount: 'calm', weight: 1, usage: 10, waitingSince: 2, queuedTokens: 10 }
 * ]) // => 'busy'
 */
export const findOverShare = (contenders: readonly QueuedContender[]): string | undefined => {
  const measure = (contender: QueuedContender): number => measureUse({ ...contender, usage: contender.usage + contender.queuedTokens })
  let worst: { readonly clientAccount: string, readonly use: number } | undefined
  for (const contender of contenders) {
    const use = measure(contender)
    if (worst === undefined || use > worst.use) worst = { clientAccount: contender.clientAccount, use }
  }
  return worst?.clientAccount
}
