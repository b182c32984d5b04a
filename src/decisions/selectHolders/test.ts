import { describe, expect, test } from 'vitest'
import { selectHolders } from './index.js'
import type { Member } from '../../types/index.js'

const createMembers = (nodesByZone: Readonly<Record<string, number>>): readonly Member[] =>
  Object.entries(nodesByZone).flatMap(([availabilityZone, count]) => Array.from({ length: count }, (_, index): Member => ({
    nodeId: `${availabilityZone}-${index}`, incarnation: 1, address: { host: availabilityZone, port: index }, availabilityZone, state: 'live', generation: 1
  })))

const listZones = (holders: readonly Member[]): readonly string[] => holders.map(({ availabilityZone }) => availabilityZone).sort()

describe('selectHolders', () => {
  test('selects a node in each of three zones', () => expect(listZones(selectHolders('r1', createMembers({ a: 4, b: 3, c: 2 })))).toEqual(['a', 'b', 'c']))

  test('selects several nodes of a zone when there are few zones', () => {
    expect(listZones(selectHolders('r1', createMembers({ a: 5 })))).toEqual(['a', 'a', 'a'])
    expect(listZones(selectHolders('r1', createMembers({ a: 5, b: 5 })))).toEqual(['a', 'a', 'b', 'b'])
  })

  test('selects as many zones as holders of many', () => {
    const holders = selectHolders('r1', createMembers({ a: 2, b: 2, c: 2, d: 2, e: 2 }))
    expect(new Set(listZones(holders)).size).toBe(3)
  })

  // The node that takes a stream up must ask the ones that the other node told.
  test('selects the same nodes whatever the order of the members, and after one of the others has gone', () => {
    const members = createMembers({ a: 4, b: 3, c: 2 })
    const holders = selectHolders('r7', members)
    expect(selectHolders('r7', [...members].reverse())).toEqual(expect.arrayContaining([...holders]))
    const other = members.find((member) => !holders.includes(member))!
    expect(selectHolders('r7', members.filter((member) => member !== other))).toEqual(expect.arrayContaining([...holders]))
  })

  test('distributes the streams over all nodes', () => {
    const members = createMembers({ a: 45, b: 45, c: 45 })
    const used = new Set(Array.from({ length: 1_000 }, (_, index) => selectHolders(`r${index}`, members)).flat())
    expect(used.size).toBe(135)
  })
})
