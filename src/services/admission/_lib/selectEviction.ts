/** Selects which waiting request gives way to a new one, in the order of the queue, or that none does. */
import { selectOverShareAccount } from '../../../decisions/selectOverShareAccount/index.js'
import type { QueuedContender } from '../../../decisions/selectOverShareAccount/index.js'
import { selectTurnedAway } from '../../../decisions/selectTurnedAway/index.js'
import type { TurnAwayContender } from '../../../decisions/selectTurnedAway/index.js'
import type { RefusalReason, WaitingDemand } from '../../../types/index.js'
import type { QueueLists } from './createQueueLists.js'
import type { WaitingAccount, WaitingList, WaitingRequest } from './createWaitingList.js'

export type Eviction =
  | { readonly kind: 'newcomer', readonly reason: RefusalReason }
  | { readonly kind: 'waiting', readonly request: WaitingRequest, readonly reason: RefusalReason }

export type EvictionInput = {
  readonly demand: WaitingDemand
  readonly lists: QueueLists
  readonly describe: <Account extends Pick<WaitingAccount, 'clientAccount' | 'waitingSince' | 'queuedTokens'>>(account: Account) => Account & QueuedContender
  readonly order: 'classes' | 'priority'
  /** Whether the new request would wait too long: then only what is ahead of it can give way. */
  readonly isLate: boolean
  readonly now: number
}

const evictFrom = (list: WaitingList | undefined, clientAccount: string | undefined, reason: RefusalReason): Eviction => {
  const request = list === undefined || clientAccount === undefined ? undefined : list.peekNewest(clientAccount)
  return request === undefined ? { kind: 'newcomer', reason } : { kind: 'waiting', request, reason }
}

/** Overnight requests give way first; then the account furthest over its share, unless that is the account of the new request. */
const selectInClasses = ({ demand, lists, describe, now }: EvictionInput): Eviction => {
  const overnight = lists.find({ ...demand, overnight: true })
  const overnightWorst = selectOverShareAccount((overnight?.accounts() ?? []).map(describe))
  if (!demand.overnight && overnightWorst !== undefined) return evictFrom(overnight, overnightWorst, 'overShare')
  if (demand.overnight && overnightWorst === undefined) return { kind: 'newcomer', reason: 'overShare' }
  const list = lists.find(demand)
  const known = list?.find(demand.clientAccount)
  const newcomer = { clientAccount: demand.clientAccount, waitingSince: now, queuedTokens: (known?.queuedTokens ?? 0) + demand.tokens }
  const contenders = [...(list?.accounts() ?? []).filter((account) => account.clientAccount !== demand.clientAccount), newcomer]
  const worst = selectOverShareAccount(contenders.map(describe))
  return worst === demand.clientAccount ? { kind: 'newcomer', reason: 'overShare' } : evictFrom(list, worst, 'overShare')
}

const selectByPriority = ({ demand, lists, describe, isLate, now }: EvictionInput): Eviction => {
  const ownPriority = demand.priority ?? 0
  const waiting = lists.listByPriority()
    .filter(([priority]) => !isLate || priority <= ownPriority)
    .flatMap(([priority, list]) => list.accounts().map((account): TurnAwayContender => ({ ...describe(account), priority, isNewcomer: false })))
  const newcomer: TurnAwayContender = {
    ...describe({ clientAccount: demand.clientAccount, waitingSince: now, queuedTokens: demand.tokens }),
    priority: ownPriority,
    repeats: demand.isRepeat === true ? 1 : 0,
    isNewcomer: true
  }
  const turnedAway = selectTurnedAway([...waiting, newcomer])
  if (turnedAway === undefined || turnedAway.contender.isNewcomer) {
    const reason = turnedAway?.reason ?? 'lessUrgent'
    return { kind: 'newcomer', reason: isLate && reason === 'lessUrgent' ? 'deadline' : reason }
  }
  const { contender: { clientAccount, priority }, reason } = turnedAway
  const list = lists.find({ ...demand, priority })
  const repeat = reason === 'repeatedEarly' ? list?.peekRepeat(clientAccount) : undefined
  return repeat === undefined ? evictFrom(list, clientAccount, reason) : { kind: 'waiting', request: repeat, reason }
}

const selections: Readonly<Record<EvictionInput['order'], (input: EvictionInput) => Eviction>> = { classes: selectInClasses, priority: selectByPriority }

/** Selects the request that is refused, which is the new one where no waiting request comes after it. */
export const selectEviction = (input: EvictionInput): Eviction => selections[input.order](input)
