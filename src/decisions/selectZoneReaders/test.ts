import { describe, expect, test } from 'vitest'
import { selectZoneReaders } from './index.js'
import type { Member } from '../../types/index.js'

const createMember = (nodeId: string, changes: Partial<Member> = {}): Member =>
  ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone: 'venkov-a', state: 'live', generation: 1, ...changes })

const select = (members: readonly Member[]): readonly string[] => selectZoneReaders('venkov-a', members, 2).map(({ nodeId }) => nodeId)

describe('selectZoneReaders', () => {
  test('selects the first nodes by id, whatever the order of the list', () => {
    expect(select([createMember('c'), createMember('a'), createMember('b')])).toEqual(['a', 'b'])
  })

  // A reader on a small VM took seconds to send a large configuration to its zone over its slow link.
  test('prefers the largest VMs, while they are live', () => {
    const large = createMember('z', { millicores: 1_350 })
    const small = [createMember('a', { millicores: 324 }), createMember('b', { millicores: 324 })]
    expect(select([...small, large])).toEqual(['z', 'a'])
    expect(select([...small, { ...large, state: 'suspect' }])).toEqual(['a', 'b'])
  })

  test.each(['suspect', 'leaving', 'dead'] as const)('skips a %s node', (state) => {
    expect(select([createMember('a', { state }), createMember('b'), createMember('c')])).toEqual(['b', 'c'])
  })

  test('skips nodes of other zones', () => {
    expect(select([createMember('a', { availabilityZone: 'venkov-b' }), createMember('b')])).toEqual(['b'])
  })

  test('selects fewer readers when the zone has fewer nodes', () => {
    expect(select([createMember('a')])).toEqual(['a'])
  })

  test('does not change the list of members', () => {
    const members = [createMember('b'), createMember('a')]
    select(members)
    expect(members.map(({ nodeId }) => nodeId)).toEqual(['b', 'a'])
  })
})
