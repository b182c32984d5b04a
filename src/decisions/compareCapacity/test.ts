import { expect, test } from 'vitest'
import { compareCapacity } from './index.js'
import type { Member } from '../../types/index.js'

const createMember = (nodeId: string, millicores?: number): Member =>
  ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone: 'a', state: 'live', generation: 1, ...(millicores === undefined ? {} : { millicores }) })

test('compareCapacity puts the larger node first and counts a node without a reported capacity as one core', () => {
  const members = [createMember('small', 324), createMember('unknown'), createMember('large', 1_350), createMember('whole', 1_000)]
  expect([...members].sort(compareCapacity).map(({ nodeId }) => nodeId)).toEqual(['large', 'unknown', 'whole', 'small'])
})
