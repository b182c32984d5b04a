import { describe, expect, it } from 'vitest'
import type { BackendServerState, NodeStatus } from '../../types/index.js'
import { summarizeFleet } from './index.js'

const createNode = (nodeId: string, state: BackendServerState, ownInFlight: number, overrides: Partial<NodeStatus> = {}): NodeStatus => ({
  nodeId,
  availabilityZone: 'venkov-a',
  region: 'cz-venkov',
  version: '0.1.0',
  ready: true,
  generation: 1,
  members: [],
  backendServers: [{ backendServer: 'engine-1', state, weightShare: 1, inFlight: 9, ownInFlight }],
  ledger: { accepted: 4, complete: 1, refused: 1, unknown: 1, open: 1 },
  accountUsage: [{ clientAccount: 'shops', tokens: 10 }],
  ...overrides
})

describe('summarizeFleet', () => {
  it('returns an empty summary without routers', () => {
    expect(summarizeFleet([])).toEqual({ backendServers: [], accounts: [], ledger: { accepted: 0, complete: 0, refused: 0, unknown: 0, open: 0 }, unaccounted: 0 })
  })

  it('reports the state that most routers report and names the other routers', () => {
    const summary = summarizeFleet([createNode('r1', 'live', 1), createNode('r2', 'ejected', 2), createNode('r3', 'ejected', 0)])
    expect(summary.backendServers).toEqual([{ backendServer: 'engine-1', state: 'ejected', dissenting: ['r1'], inFlight: 3, isDrained: false }])
  })

  it.each([[0, true], [1, false]])('reports a leaving server with %i requests in flight as drained: %s', (inFlight, isDrained) => {
    expect(summarizeFleet([createNode('r1', 'leaving', inFlight)]).backendServers[0]?.isDrained).toBe(isDrained)
  })

  it('counts a request that is missing from the ledger as unaccounted', () => {
    const lossy = createNode('r1', 'live', 0, { ledger: { accepted: 5, complete: 1, refused: 1, unknown: 1, open: 1 } })
    expect(summarizeFleet([lossy, createNode('r2', 'live', 0)]).unaccounted).toBe(1)
  })

  it('sums the usage of an account over the routers', () => {
    expect(summarizeFleet([createNode('r1', 'live', 0), createNode('r2', 'live', 0)]).accounts).toEqual([{ clientAccount: 'shops', tokens: 20 }])
  })

  it('marks accounts that use more than the share of their weight', () => {
    const node = createNode('r1', 'live', 0, { accountUsage: [{ clientAccount: 'large', tokens: 60 }, { clientAccount: 'small', tokens: 40 }] })
    const { accounts } = summarizeFleet([node], new Map([['large', 3], ['small', 1]]))
    expect(accounts.map(({ clientAccount, isOverShare }) => [clientAccount, isOverShare])).toEqual([['large', false], ['small', true]])
  })
})
