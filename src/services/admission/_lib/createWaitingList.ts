/** Waiting requests of one service and priority class, in order of arrival within each account. */
import type { AdmissionDemand, AdmissionRefusal, AdmissionTicket, Result } from '../../../types/index.js'

export type WaitingRequest = {
  readonly demand: AdmissionDemand
  readonly since: number
  readonly settle: (result: Result<AdmissionTicket, AdmissionRefusal>) => void
}

export type WaitingAccount = {
  readonly clientAccount: string
  readonly waitingSince: number
  readonly queuedTokens: number
  readonly length: number
}

export type WaitingList = {
  readonly add: (request: WaitingRequest) => void
  readonly remove: (request: WaitingRequest) => boolean
  readonly takeOldest: (clientAccount: string) => WaitingRequest | undefined
  readonly takeNewest: (clientAccount: string) => WaitingRequest | undefined
  readonly accounts: () => readonly WaitingAccount[]
  readonly find: (clientAccount: string) => WaitingAccount | undefined
  readonly length: () => number
}

type AccountQueue = { readonly requests: WaitingRequest[], queuedTokens: number }

export const createWaitingList = (): WaitingList => {
  const queues = new Map<string, AccountQueue>()
  let length = 0

  const takeAt = (clientAccount: string, index: number): WaitingRequest | undefined => {
    const queue = queues.get(clientAccount)
    const request = queue?.requests.splice(index, 1)[0]
    if (queue === undefined || request === undefined) return undefined
    queue.queuedTokens -= request.demand.tokens
    length -= 1
    if (queue.requests.length === 0) queues.delete(clientAccount)
    return request
  }

  const describe = (clientAccount: string, queue: AccountQueue): WaitingAccount => ({
    clientAccount,
    waitingSince: queue.requests[0]?.since ?? 0,
    queuedTokens: queue.queuedTokens,
    length: queue.requests.length
  })

  return {
    add: (request) => {
      const { clientAccount, tokens } = request.demand
      const queue = queues.get(clientAccount) ?? { requests: [], queuedTokens: 0 }
      queue.requests.push(request)
      queue.queuedTokens += tokens
      queues.set(clientAccount, queue)
      length += 1
    },
    remove: (request) => {
      const { clientAccount } = request.demand
      const index = queues.get(clientAccount)?.requests.indexOf(request) ?? -1
      return index >= 0 && takeAt(clientAccount, index) !== undefined
    },
    takeOldest: (clientAccount) => takeAt(clientAccount, 0),
    takeNewest: (clientAccount) => takeAt(clientAccount, -1),
    accounts: () => [...queues].map(([clientAccount, queue]) => describe(clientAccount, queue)),
    find: (clientAccount) => {
      const queue = queues.get(clientAccount)
      return queue === undefined ? undefined : describe(clientAccount, queue)
    },
    length: () => length
  }
}
