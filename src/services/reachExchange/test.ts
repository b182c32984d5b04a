import { describe, expect, test } from 'vitest'
import { createReachExchange } from './index.js'
import { createHeartbeatExchange } from '../heartbeatExchange/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { BackendInstance, LogFields, Member, ServerReach } from '../../types/index.js'

const createInstance = (id: string): BackendInstance => ({ id, service: 'engines', address: { host: id, port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0 })

const createMember = (nodeId: string): Member => ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone: 'a', state: 'live', generation: 1 })

const start = (instances: readonly BackendInstance[] = [createInstance('s1'), createInstance('s2')]) => {
  const clock = createManualClock()
  const exchange = createHeartbeatExchange()
  const suspended = new Set<string>()
  const logs: (LogFields & { readonly message: string })[] = []
  const write = (message: string, fields: LogFields = {}): void => { logs.push({ message, ...fields }) }
  const members = ['self', 'peer-1', 'peer-2', 'peer-3'].map(createMember)
  const { api } = createReachExchange({
    clock,
    logger: { info: write, warn: write },
    registry: { all: () => instances },
    health: { isSuspended: ({ id }) => suspended.has(id), readUnheardMs: () => 700 },
    membership: { self: () => members[0]!, members: () => members },
    exchange
  })
  return {
    clock,
    api,
    logs,
    suspended,
    report: (nodeId: string, reach: ServerReach): void => exchange.deliver({ kind: 'heartbeat', member: createMember(nodeId), rumours: [], reach }),
    sendHeartbeat: () => exchange.collect(members[1]!)
  }
}

describe('createReachExchange', () => {
  test('tells peers how many of its servers the node reaches', () => {
    const { sendHeartbeat, suspended } = start()
    suspended.add('s1')
    expect(sendHeartbeat().reach).toEqual({ reachable: 1, known: 2 })
  })

  test('counts peers by what they reported', () => {
    const { api, report } = start()
    report('peer-1', { reachable: 1, known: 2 })
    report('peer-2', { reachable: 0, known: 2 })
    expect(api.countPeers()).toEqual({ some: 1, none: 1, unknown: 1 })
  })

  test('knows nothing of a peer without a list of servers, or whose report is old', async () => {
    const { api, report, clock } = start()
    report('peer-1', { reachable: 0, known: 0 })
    report('peer-2', { reachable: 2, known: 2 })
    await clock.advanceAndSettle(2_000)
    expect(api.readPeer('peer-1')).toBe('unknown')
    expect(api.readPeer('peer-2')).toBe('unknown')
  })

  // Without the peers' reach, servers that are down and a node that is cut off look alike in the log.
  test('logs once that all servers are out of reach, with what peers reach', () => {
    const { report, sendHeartbeat, suspended, logs } = start()
    report('peer-1', { reachable: 2, known: 2 })
    for (const id of ['s1', 's2']) suspended.add(id)
    sendHeartbeat()
    sendHeartbeat()
    suspended.clear()
    sendHeartbeat()
    expect(logs.map(({ message }) => message)).toEqual(['all backend servers out of reach', 'backend servers in reach again'])
    expect(logs[0]).toMatchObject({ reachable: 0, known: 2, unheardMs: 700, peersReaching: 1, peersNotReaching: 0, peersUnknown: 2 })
  })
})
