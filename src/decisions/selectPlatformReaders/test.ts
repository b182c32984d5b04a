import { describe, expect, test } from 'vitest'
import { selectPlatformReaders } from './index.js'
import type { Member } from '../../types/index.js'

const createMember = (nodeId: string, availabilityZone: string, state: Member['state'] = 'live'): Member =>
  ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone, state, generation: 1 })

const names = (members: readonly Member[]): readonly string[] => members.map(({ nodeId }) => nodeId)

const THREE_ZONES = [
  createMember('a-1', 'a'), createMember('a-2', 'a'),
  createMember('b-1', 'b'), createMember('b-2', 'b'),
  createMember('c-1', 'c')
]

describe('selectPlatformReaders', () => {
  test('selects the first node of the zone, and the reader of the next zone as second source', () => {
    const { own, queried } = selectPlatformReaders('a', THREE_ZONES)
    expect(names(own)).toEqual(['a-1'])
    expect(names(queried)).toEqual(['a-1', 'b-1'])
  })

  test('wraps around from the last zone to the first', () => {
    expect(names(selectPlatformReaders('c', THREE_ZONES).queried)).toEqual(['c-1', 'a-1'])
  })

  test('selects the next node as reader when the first is not live', () => {
    const members = [createMember('a-1', 'a', 'suspect'), ...THREE_ZONES.slice(1)]
    expect(names(selectPlatformReaders('a', members).own)).toEqual(['a-2'])
  })

  // In a network partition, the nodes of an isolated zone consider all others dead, and may lose their reader as well.
  test('selects two readers when no other zone is reachable', () => {
    const members = THREE_ZONES.map((member) => member.availabilityZone === 'a' ? member : { ...member, state: 'dead' as const })
    const { own, queried } = selectPlatformReaders('a', members)
    expect(names(own)).toEqual(['a-1', 'a-2'])
    expect(names(queried)).toEqual(['a-1', 'a-2'])
  })
})
