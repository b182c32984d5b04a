import { describe, expect, test } from 'vitest'
import { createPeerRelays } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { Member } from '../../types/index.js'

const NONE: ReadonlySet<string> = new Set()

const createMember = (nodeId: string, changes: Partial<Member> = {}): Member =>
  ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone: 'a', state: 'live', generation: 1, relayPort: 7, ...changes })

const start = (peers: readonly Member[]) => {
  const clock = createManualClock()
  const members = [createMember('self'), ...peers]
  const { api } = createPeerRelays({
    clock,
    random: { next: () => 0 },
    logger: { info: () => {} },
    membership: { self: () => members[0]!, liveMembers: () => members, onChange: () => {} },
    reach: { readPeer: () => 'unknown' },
    client: { send: () => ({ abort: () => {}, pause: () => {}, resume: () => {} }), retain: () => {}, close: () => {} }
  })
  return { clock, api, select: (service = 'engines', excluded = NONE) => api.select(service, excluded) }
}

describe('createPeerRelays', () => {
  test('selects a peer with the address at which it takes requests of others', () => {
    expect(start([createMember('n1')]).select()).toMatchObject({ nodeId: 'n1', address: { host: 'n1', port: 7 } })
  })

  test('selects no peer that takes none, such as one of an earlier release', () => {
    const { relayPort, ...earlier } = createMember('n1')
    expect(relayPort).toBe(7)
    expect(start([earlier]).select()).toBeUndefined()
  })

  test('leaves a peer that was not reached alone for a while, for every service', async () => {
    const { api, clock, select } = start([createMember('n1')])
    api.recordFailure(select()!, 'engines', 'unreachable')
    expect([select('engines'), select('plain')]).toEqual([undefined, undefined])
    await clock.advanceAndSettle(1_100)
    expect(select()?.nodeId).toBe('n1')
  })

  test('leaves a peer without a server of one service alone for that service only', () => {
    const { api, select } = start([createMember('n1')])
    api.recordFailure(select()!, 'engines', 'noServer')
    expect([select('engines'), select('plain')?.nodeId]).toEqual([undefined, 'n1'])
  })

  // Guards against a load of several requests for each one when a service is down for all nodes of a large fleet.
  test('asks no peer for a service for a while after three of them had no server of it', async () => {
    const { api, clock, select } = start(Array.from({ length: 20 }, (_, index) => createMember(`n${index}`)))
    for (let count = 0; count < 3; count++) api.recordFailure(select()!, 'engines', 'noServer')
    expect([select('engines'), select('plain')?.nodeId]).toEqual([undefined, 'n0'])
    await clock.advanceAndSettle(600)
    expect(select('engines')).toBeDefined()
  })

  test('goes on asking when a server has answered between', () => {
    const { api, select } = start(Array.from({ length: 20 }, (_, index) => createMember(`n${index}`)))
    for (let count = 0; count < 3; count++) {
      api.recordFailure(select()!, 'engines', 'noServer')
      api.recordAnswer('engines')
    }
    expect(select('engines')).toBeDefined()
  })
})
