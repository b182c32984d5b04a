/**
 * Selects which request is refused when a queue cannot serve all. Load pattern: a burst
 * of several times the capacity, in which one account sends far more than its share and
 * some callers repeat at once instead of waiting for their Retry-After.
 */
import type { QueuedContender } from '../selectOverShareAccount/index.js'
import { listOverShareAccounts } from '../listOverShareAccounts/index.js'

/** Requests of one account and priority that wait, or the request that has just arrived. */
export type TurnAwayContender = QueuedContender & {
  /** 0 is the most urgent. */
  readonly priority: number
  /** How many of them came back before their Retry-After. */
  readonly repeats: number
  /** Whether this is the request that has just arrived. */
  readonly isNewcomer: boolean
}

export type TurnedAway = {
  readonly contender: TurnAwayContender
  readonly reason: 'overShare' | 'repeatedEarly' | 'lessUrgent'
}

const mergeAccounts = (contenders: readonly TurnAwayContender[]): readonly QueuedContender[] => {
  const accounts = new Map<string, QueuedContender>()
  for (const contender of contenders) {
    const known = accounts.get(contender.clientAccount)
    accounts.set(contender.clientAccount, known === undefined ? contender : { ...known, queuedTokens: known.queuedTokens + contender.queuedTokens })
  }
  return [...accounts.values()]
}

/** The least urgent one; of equals the newcomer, so that no request is evicted for its equal. */
const findLeastUrgent = (contenders: readonly TurnAwayContender[]): TurnAwayContender | undefined => {
  let least: TurnAwayContender | undefined
  for (const contender of contenders) {
    if (least === undefined || contender.priority > least.priority || (contender.priority === least.priority && contender.isNewcomer)) least = contender
  }
  return least
}

/**
 * Selects the request to refuse: first of the account that is furthest over its share, then
 * a repeat that came too early, then the least urgent. Within the first two kinds the least
 * urgent goes first, so that each account keeps its more urgent requests.
 *
 * @param contenders - Waiting requests by account and priority, and the newcomer as one of its own.
 * @returns Whose request is refused and why; `undefined` without contenders.
 *
 * @example
 * selectTurnedAway([]) // => undefined
 */
export const selectTurnedAway = (contenders: readonly TurnAwayContender[]): TurnedAway | undefined => {
  const worstAccount = listOverShareAccounts(mergeAccounts(contenders))[0]
  const overShare = findLeastUrgent(contenders.filter(({ clientAccount }) => clientAccount === worstAccount))
  if (overShare !== undefined) return { contender: overShare, reason: 'overShare' }
  const repeat = findLeastUrgent(contenders.filter(({ repeats }) => repeats > 0))
  if (repeat !== undefined) return { contender: repeat, reason: 'repeatedEarly' }
  const leastUrgent = findLeastUrgent(contenders)
  return leastUrgent === undefined ? undefined : { contender: leastUrgent, reason: 'lessUrgent' }
}
