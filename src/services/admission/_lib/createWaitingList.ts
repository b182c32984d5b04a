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

type Line = { readonly requests: WaitingRequest[], queuedTokens: number }

export const createWaitingList = (): WaitingList => {
  const lines = new Map<string, Line>()
  let length = 0

  const takeAt = (clientAccount: string, index: number): WaitingRequest | undefined => {
    const line = lines.get(clientAccount)
    const request = line?.requests.splice(index, 1)[0]
    if (line === undefined || request === undefined) return undefined
    line.queuedTokens -= request.demand.tokens
    length -= 1
    if (line.requests.length === 0) lines.delete(clientAccount)
    return request
  }

  const describe = (clientAccount: string, line: Line): WaitingAccount => ({
    clientAccount,
    waitingSince: line.requests[0]?.since ?? 0,
    queuedTokens: line.queuedTokens,
    length: line.requests.length
  })

  return {
    add: (request) => {
      const { clientAccount, tokens } = request.demand
      const line = lines.get(clientAccount) ?? { requests: [], queuedTokens: 0 }
      line.requests.push(request)
      line.queuedTokens += tokens
      lines.set(clientAccount, line)
      length += 1
    },
    remove: (request) => {
      const { clientAccount } = request.demand
      const index = lines.get(clientAccount)?.requests.indexOf(request) ?? -1
      return index >= 0 && takeAt(clientAccount, index) !== undefined
    },
    takeOldest: (clientAccount) => takeAt(clientAccount, 0),
    takeNewest: (clientAccount) => takeAt(clientAccount, -1),
    accounts: () => [...lines].map(([clientAccount, line]) => describe(clientAccount, line)),
    find: (clientAccount) => {
      const line = lines.get(clientAccount)
      return line === undefined ? undefined : describe(clientAccount, line)
    },
    length: () => length
  }
}
