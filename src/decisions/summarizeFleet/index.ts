/** Summarizes the statuses of all routers for an operator on call. */
import type { BackendServerState, BackendServerStatus, NodeStatus, RequestLedger } from '../../types/index.js'

export type BackendServerSummary = {
  readonly backendServer: string
  /** The state that most routers report. */
  readonly state: BackendServerState
  /** Names of the routers that report another state. */
  readonly dissenting: readonly string[]
  /** Requests in flight, summed over the routers that responded. */
  readonly inFlight: number
  /** Leaving, with no requests in flight at any router that responded. */
  readonly isDrained: boolean
}

export type AccountSummary = {
  readonly clientAccount: string
  /** Recent work in tokens, decayed over time and summed over the routers that responded. */
  readonly tokens: number
  /** Whether it uses more of the listed work than its weight entitles it to; `undefined` when the weights are unknown. */
  readonly isOverShare?: boolean
}

/** Weights by client account, from the sheet. */
export type AccountWeights = ReadonlyMap<string, number>

export type FleetSummary = {
  readonly backendServers: readonly BackendServerSummary[]
  /** The accounts by recent work, largest first. */
  readonly accounts: readonly AccountSummary[]
  readonly ledger: RequestLedger
  /** Accepted requests that are neither open nor counted in any outcome. They were lost, which should raise an alarm. */
  readonly unaccounted: number
}

const EMPTY_LEDGER: RequestLedger = { accepted: 0, complete: 0, refused: 0, unknown: 0, open: 0 }

const addLedgers = (left: RequestLedger, right: RequestLedger): RequestLedger => ({
  accepted: left.accepted + right.accepted,
  complete: left.complete + right.complete,
  refused: left.refused + right.refused,
  unknown: left.unknown + right.unknown,
  open: left.open + right.open
})

type ServerReport = { readonly nodeId: string, readonly status: BackendServerStatus }

const findCommonState = (reports: readonly ServerReport[]): BackendServerState => {
  const countOf = (state: BackendServerState): number => reports.filter(({ status }) => status.state === state).length
  return reports.map(({ status }) => status.state).reduce((common, state) => countOf(state) > countOf(common) ? state : common)
}

const summarizeBackendServer = (backendServer: string, reports: readonly ServerReport[]): BackendServerSummary => {
  const state = findCommonState(reports)
  const inFlight = reports.reduce((sum, { status }) => sum + status.ownInFlight, 0)
  return {
    backendServer,
    state,
    dissenting: reports.filter(({ status }) => status.state !== state).map(({ nodeId }) => nodeId),
    inFlight,
    isDrained: state === 'leaving' && inFlight === 0
  }
}

const summarizeBackendServers = (nodes: readonly NodeStatus[]): readonly BackendServerSummary[] => {
  const reports = nodes.flatMap(({ nodeId, backendServers }) => backendServers.map((status): ServerReport => ({ nodeId, status })))
  const names = [...new Set(reports.map(({ status }) => status.backendServer))].sort()
  return names.map((name) => summarizeBackendServer(name, reports.filter(({ status }) => status.backendServer === name)))
}

const sumTokens = (nodes: readonly NodeStatus[]): ReadonlyMap<string, number> => {
  const tokensOf = new Map<string, number>()
  for (const { clientAccount, tokens } of nodes.flatMap(({ accountUsage }) => accountUsage)) {
    tokensOf.set(clientAccount, (tokensOf.get(clientAccount) ?? 0) + tokens)
  }
  return tokensOf
}

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0)

const summarizeAccounts = (nodes: readonly NodeStatus[], weights: AccountWeights | undefined): readonly AccountSummary[] => {
  const tokensOf = sumTokens(nodes)
  const weightOf = (clientAccount: string): number => weights?.get(clientAccount) ?? 1
  const allTokens = sum([...tokensOf.values()])
  const allWeights = sum([...tokensOf.keys()].map(weightOf))
  return [...tokensOf]
    .map(([clientAccount, tokens]) => ({
      clientAccount,
      tokens,
      ...(weights === undefined ? {} : { isOverShare: tokens * allWeights > weightOf(clientAccount) * allTokens })
    }))
    .sort((left, right) => right.tokens - left.tokens)
}

/**
 * Summarizes the statuses of the routers.
 *
 * @param nodes - The statuses of the routers that responded.
 * @param weights - Weights of the client accounts, if known.
 * @returns Backend servers, accounts and the sums of the request ledgers.
 *
 * @example
 * summarizeFleet([]).unaccounted // => 0
 */
export const summarizeFleet = (nodes: readonly NodeStatus[], weights?: AccountWeights): FleetSummary => {
  const ledger = nodes.map((node) => node.ledger).reduce(addLedgers, EMPTY_LEDGER)
  return {
    backendServers: summarizeBackendServers(nodes),
    accounts: summarizeAccounts(nodes, weights),
    ledger,
    unaccounted: ledger.accepted - ledger.complete - ledger.refused - ledger.unknown - ledger.open
  }
}
