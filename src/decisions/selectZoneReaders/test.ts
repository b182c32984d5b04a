import { describe, expect, test } from 'vitest'
import { selectZoneReaders } from './index.js'
import type { Member } from '../../types/index.js'

const createMember = (nodeId: string, changes: Partial<Member> = {}): Member =>
  ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone: 'venkov-a', state: 'live', generation: 1, ...changes })

const select = (members: readonly Member[]): readonly string[] => selectZoneReaders('venkov-a', members, 2).map(({ nodeId }) => nodeId)

describe('selectZoneReaders', () => {
  test('takes the first nodes by id, in whatever order they are known', () => {
    expect(select([createMember('c'), createMember('a'), createMember('b')])).toEqual(['a', 'b'])
  })

  // A reader on a slow link handed a large configuration to its zone for seconds.
  test('takes the largest VMs first, while they are live', () => {
    const large = createMember('z', { millicores: 1_350 })
    const small = [createMember('a', { millicores: 324 }), createMember('b', { millicores: 324 })]
    expect(select([...small, large])).toEqual(['z', 'a'])
    expect(select([...small, { ...large, state: 'suspect' }])).toEqual(['a', 'b'])
  })

  test.each(['suspect', 'leaving', 'dead'] as const)('passes over a %s node', (state) => {
    expect(select([createMember('a', { state }), createMember('b'), createMember('c')])).toEqual(['b', 'c'])
  })

  test('passes over nodes of other zones', () => {
    expect(select([createMember('a', { availabilityZone: 'venkov-b' }), createMember('b')])).toEqual(['b'])
  })

  test('takes fewer where there are fewer', () => {
    expect(select([createMember('a')])).toEqual(['a'])
  })

  test('leaves the list of members as it was', () => {
    const members = [createMember('b'), createMember('a')]
    select(members)
    expect(members.map(({ nodeId }) => nodeId)).toEqual(['b', 'a'])
  })
})
