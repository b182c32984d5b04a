import { describe, expect, test } from 'vitest'
import { selectCulprits, type CulpritOptions, type SuspiciousEnd } from './index.js'

const SECOND_MS = 1_000

/** Servers that end a second apart, each with these parts. */
const createEnds = (...parts: readonly (readonly string[])[]): readonly SuspiciousEnd[] =>
  parts.map((ofServer, index) => ({ server: `engine-${index}@1`, at: index * SECOND_MS, parts: new Set(ofServer) }))

const FEW_BREAK: CulpritOptions = { counts: { complete: 95, broken: 5 } }

describe('selectCulprits', () => {
  test('selects none without ends', () => expect(selectCulprits([], FEW_BREAK)).toEqual([]))

  test('selects none after one end', () => expect(selectCulprits(createEnds(['a', 'b']), FEW_BREAK)).toEqual([]))

  test('selects the part that was at two ends', () => expect(selectCulprits(createEnds(['a', 'b'], ['b', 'c']), FEW_BREAK)).toEqual(['b']))

  test('selects both parts that were at as many ends', () => expect(selectCulprits(createEnds(['a', 'b'], ['a', 'b']), FEW_BREAK)).toEqual(['a', 'b']))

  // Rare parts are at two ends by chance while another part ends all servers.
  test('selects the part at the most ends first', () => expect(selectCulprits(createEnds(['a', 'b'], ['b'], ['a', 'b']), FEW_BREAK)).toEqual(['b']))

  test('counts servers that end together once', () => {
    const ends = createEnds(['a'], ['a'], ['a']).map((end) => ({ ...end, at: end.at / 10 }))
    expect(selectCulprits(ends, FEW_BREAK)).toEqual([])
  })

  // Otherwise a chain of ends, each soon after the one before, would count once for ever.
  test('counts a chain of ends more than once', () => {
    const ends = createEnds(['a'], ['a'], ['a']).map((end) => ({ ...end, at: end.at / 5 }))
    expect(selectCulprits(ends, FEW_BREAK)).toEqual(['a'])
  })

  test('selects none for ends that a known part explains', () => {
    const ends = createEnds(['a', 'known'], ['a', 'known'])
    expect(selectCulprits(ends, { ...FEW_BREAK, explained: new Set(ends.map(({ server }) => server)) })).toEqual([])
  })

  // With a third of all requests broken, a sound part has no answer between two ends in one of nine cases.
  test('needs more ends the more requests break', () => {
    const listParts = (count: number): readonly string[] => selectCulprits([...createEnds(...Array.from({ length: count }, () => ['a'])), { server: 'other-1@1', at: 500, parts: new Set() }, { server: 'other-2@1', at: 1_500, parts: new Set() }], { counts: { complete: 67, broken: 33 + count } })
    expect([2, 3, 4, 5].map((count) => listParts(count).length)).toEqual([0, 0, 0, 1])
  })

  // A part that is in every request that broke says nothing about how many others break.
  test('leaves the requests with the part out of the share that breaks', () => {
    expect(selectCulprits(createEnds(['a'], ['a']), { counts: { complete: 8, broken: 2 } })).toEqual(['a'])
  })

  // When all servers are down no answer acquits any part.
  test('selects the only part that was at all ends, however many requests break', () => {
    expect(selectCulprits(createEnds(['a', 'b'], ['a', 'c'], ['a', 'b']), { counts: { complete: 0, broken: 20 } })).toEqual(['a'])
    expect(selectCulprits(createEnds(['a', 'b'], ['a', 'b'], ['a', 'b']), { counts: { complete: 0, broken: 20 } })).toEqual([])
  })
})
