/** Waiting requests of one service and priority class, within each account in order of arrival or of deadline. */
import type { AdmissionRefusal, AdmissionTicket, Result, WaitingDemand } from '../../../types/index.js'

export type WaitingRequest = {
  readonly demand: WaitingDemand
  readonly since: number
  readonly settle: (result: Result<AdmissionTicket, AdmissionRefusal>) => void
}

export type WaitingAccount = {
  readonly clientAccount: string
  readonly waitingSince: number
  readonly queuedTokens: number
  readonly length: number
  readonly bytes: number
  readonly repeats: number
}

/** Order within an account. */
export type WaitingOrder = 'arrival' | 'deadline'

export type WaitingList = {
  readonly add: (request: WaitingRequest) => void
  readonly remove: (request: WaitingRequest) => boolean
  readonly peekOldest: (clientAccount: string) => WaitingRequest | undefined
  readonly peekNewest: (clientAccount: string) => WaitingRequest | undefined
  /** The last request of the account whose caller came back too early. */
  readonly peekRepeat: (clientAccount: string) => WaitingRequest | undefined
  readonly requests: () => readonly WaitingRequest[]
  readonly accounts: () => readonly WaitingAccount[]
  readonly find: (clientAccount: string) => WaitingAccount | undefined
  readonly length: () => number
}

type AccountQueue = { readonly requests: WaitingRequest[], queuedTokens: number, bytes: number, repeats: number }

const isRepeat = ({ demand }: WaitingRequest): boolean => demand.isRepeat === true

export const createWaitingList = (order: WaitingOrder = 'arrival'): WaitingList => {
  const queues = new Map<string, AccountQueue>()
  let length = 0

  const count = (queue: AccountQueue, request: WaitingRequest, sign: 1 | -1): void => {
    queue.queuedTokens += sign * request.demand.tokens
    queue.bytes += sign * (request.demand.bytes ?? 0)
    if (isRepeat(request)) queue.repeats += sign
  }

  const takeAt = (clientAccount: string, index: number): WaitingRequest | undefined => {
    const queue = queues.get(clientAccount)
    const request = queue?.requests.splice(index, 1)[0]
    if (queue === undefined || request === undefined) return undefined
    count(queue, request, -1)
    length -= 1
    if (queue.requests.length === 0) queues.delete(clientAccount)
    return request
  }

  const describe = (clientAccount: string, queue: AccountQueue): WaitingAccount => ({
    clientAccount,
    waitingSince: queue.requests[0]?.since ?? 0,
    queuedTokens: queue.queuedTokens,
    length: queue.requests.length,
    bytes: queue.bytes,
    repeats: queue.repeats
  })

  const insert = (requests: WaitingRequest[], request: WaitingRequest): void => {
    const later = order === 'arrival' ? -1 : requests.findIndex(({ demand }) => demand.deadlineAt > request.demand.deadlineAt)
    requests.splice(later < 0 ? requests.length : later, 0, request)
  }

  return {
    add: (request) => {
      const { clientAccount } = request.demand
      const queue = queues.get(clientAccount) ?? { requests: [], queuedTokens: 0, bytes: 0, repeats: 0 }
      insert(queue.requests, request)
      count(queue, request, 1)
      queues.set(clientAccount, queue)
      length += 1
    },
    remove: (request) => {
      const { clientAccount } = request.demand
      const index = queues.get(clientAccount)?.requests.indexOf(request) ?? -1
      return index >= 0 && takeAt(clientAccount, index) !== undefined
    },
    peekOldest: (clientAccount) => queues.get(clientAccount)?.requests[0],
    peekNewest: (clientAccount) => queues.get(clientAccount)?.requests.at(-1),
    peekRepeat: (clientAccount) => queues.get(clientAccount)?.requests.findLast(isRepeat),
    requests: () => [...queues.values()].flatMap(({ requests }) => requests),
    accounts: () => [...queues].map(([clientAccount, queue]) => describe(clientAccount, queue)),
    find: (clientAccount) => {
      const queue = queues.get(clientAccount)
      return queue === undefined ? undefined : describe(clientAccount, queue)
    },
    length: () => length
  }
}
