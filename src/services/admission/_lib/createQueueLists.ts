/** The waiting lists of one service by priority; in a queue of classes there are two, for interactive and overnight requests. */
import type { WaitingDemand } from '../../../types/index.js'
import { createWaitingList } from './createWaitingList.js'
import type { WaitingAccount, WaitingList } from './createWaitingList.js'

const INTERACTIVE_PRIORITY = 0
const OVERNIGHT_PRIORITY = 1

export type QueueLists = {
  /** Lists with waiting requests, the most urgent first. */
  readonly list: () => readonly WaitingList[]
  readonly listByPriority: () => readonly (readonly [priority: number, list: WaitingList])[]
  readonly find: (demand: WaitingDemand) => WaitingList | undefined
  readonly open: (demand: WaitingDemand) => WaitingList
  /** Accounts with work that is served before that of the request, and those of its own list. */
  readonly listAhead: (demand: WaitingDemand) => { readonly urgent: readonly WaitingAccount[], readonly same: readonly WaitingAccount[] }
  /** What waits of an account in all lists, or in that of one request. */
  readonly measureAccount: (clientAccount: string, inListOf?: WaitingDemand) => { readonly length: number, readonly bytes: number }
  /** Every account once, with the work that waits in all lists. */
  readonly listAccounts: () => readonly WaitingAccount[]
  readonly length: () => number
}

/** Creates the lists. */
export const createQueueLists = (order: 'classes' | 'priority'): QueueLists => {
  const lists = new Map<number, WaitingList>()

  const readPriority = ({ priority, overnight }: WaitingDemand): number =>
    order === 'priority' ? priority ?? INTERACTIVE_PRIORITY : overnight ? OVERNIGHT_PRIORITY : INTERACTIVE_PRIORITY

  const find: QueueLists['find'] = (demand) => lists.get(readPriority(demand))

  const open: QueueLists['open'] = (demand) => {
    const known = find(demand)
    if (known !== undefined) return known
    const created = createWaitingList(order === 'priority' ? 'deadline' : 'arrival')
    lists.set(readPriority(demand), created)
    return created
  }

  const listByPriority: QueueLists['listByPriority'] = () => [...lists].filter(([, list]) => list.length() > 0).sort(([left], [right]) => left - right)

  const listAccounts = (): readonly WaitingAccount[] => {
    const accounts = new Map<string, WaitingAccount>()
    for (const account of listByPriority().flatMap(([, list]) => list.accounts())) {
      const known = accounts.get(account.clientAccount)
      accounts.set(account.clientAccount, known === undefined ? account : { ...account, queuedTokens: known.queuedTokens + account.queuedTokens })
    }
    return [...accounts.values()]
  }

  return {
    list: () => listByPriority().map(([, list]) => list),
    listByPriority,
    find,
    open,
    listAhead: (demand) => {
      const own = readPriority(demand)
      const accounts = listByPriority().map(([priority, list]) => ({ priority, accounts: list.accounts() }))
      return {
        urgent: accounts.filter(({ priority }) => priority < own).flatMap((entry) => entry.accounts),
        same: accounts.find(({ priority }) => priority === own)?.accounts ?? []
      }
    },
    measureAccount: (clientAccount, inListOf) => {
      const searched = inListOf === undefined ? [...lists.values()] : [find(inListOf)]
      const found = searched.flatMap((list) => list?.find(clientAccount) ?? [])
      return { length: found.reduce((sum, { length }) => sum + length, 0), bytes: found.reduce((sum, { bytes }) => sum + bytes, 0) }
    },
    listAccounts,
    length: () => [...lists.values()].reduce((sum, list) => sum + list.length(), 0)
  }
}
