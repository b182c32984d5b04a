import { describe, expect, test } from 'vitest'
import { countFleetNodes } from './index.js'

const createMembers = (nodesByZone: Readonly<Record<string, number>>) =>
  Object.entries(nodesByZone).flatMap(([availabilityZone, count]) => Array.from({ length: count }, (_, index) => ({ nodeId: `${availabilityZone}-${index}`, availabilityZone })))

const view = { availabilityZone: 'a', zones: 3, hasPeers: true }

describe('countFleetNodes', () => {
  test('counts all members', () => expect(countFleetNodes({ ...view, members: createMembers({ a: 2, b: 3, c: 2 }) })).toBe(7))

  // A node that started in a zone that is cut off would divide the constant by the nodes of that zone alone.
  test('counts nodes in zones of which no member is known', () => expect(countFleetNodes({ ...view, members: createMembers({ a: 2 }) })).toBe(6))

  test('knows no number when it should know peers and knows none', () => {
    expect(countFleetNodes({ ...view, members: createMembers({ a: 1 }) })).toBeUndefined()
    expect(countFleetNodes({ ...view, zones: 1, hasPeers: false, members: createMembers({ a: 1 }) })).toBe(1)
  })
})
