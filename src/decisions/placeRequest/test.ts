import { describe, expect, test } from 'vitest'
import { defaultPlacementWeights, placeRequest } from './index.js'
import type { InstanceCandidate, PlacementQuestion } from './index.js'

const createCandidate = (id: string, changes: Partial<InstanceCandidate> = {}): InstanceCandidate =>
  ({ id, slots: 64, load: 4, keptTokens: 0, copyableTokens: 0, isInZone: true, slowness: 1, ...changes })

const createQuestion = (changes: Partial<PlacementQuestion> = {}): PlacementQuestion =>
  ({ affinityKey: 'part', sharedTokens: 8_000, expectedBytes: 20_000, ...changes })

const createServers = (count: number, changes: Partial<InstanceCandidate> = {}): readonly InstanceCandidate[] =>
  Array.from({ length: count }, (_, index) => createCandidate(`s${index}`, changes))

const still = (): number => 0.5

describe('placeRequest', () => {
  test('finds nothing without candidates', () => expect(placeRequest(createQuestion(), [], still)).toBeUndefined())

  test('prefers the server that keeps the prompt to an emptier one', () => {
    const servers = [createCandidate('kept', { keptTokens: 8_000, load: 6 }), createCandidate('empty', { load: 2 })]
    expect(placeRequest(createQuestion(), servers, still)).toBe('kept')
  })

  test('sends one key to one server while nothing is known', () => {
    const chosen = new Set(Array.from({ length: 20 }, () => placeRequest(createQuestion(), createServers(12), Math.random)))
    expect(chosen.size).toBe(1)
  })

  test('spreads many keys over the servers', () => {
    const chosen = new Set(Array.from({ length: 200 }, (_, index) => placeRequest(createQuestion({ affinityKey: `key-${index}` }), createServers(12), still)))
    expect(chosen.size).toBe(12)
  })

  test('moves only the keys of a server that left', () => {
    const all = createServers(12)
    const moved = Array.from({ length: 200 }, (_, index) => createQuestion({ affinityKey: `key-${index}` }))
      .filter((question) => placeRequest(question, all, still) !== 's3')
      .filter((question) => placeRequest(question, all, still) !== placeRequest(question, all.filter(({ id }) => id !== 's3'), still))
    expect(moved).toHaveLength(0)
  })

  // One chat's part gets a crowd. Its server would go over the load promise, so
  // the crowd spills, though every spilled request reads the prompt again.
  test('spills where the server that keeps the prompt is over the bound', () => {
    const servers = [createCandidate('kept', { keptTokens: 8_000, load: 20 }), ...createServers(5, { load: 3 })]
    expect(placeRequest(createQuestion(), servers, still)).not.toBe('kept')
  })

  test('keeps every load under the promise while a crowd arrives', () => {
    const loads = new Map(createServers(12, { load: 0 }).map(({ id }) => [id, 0]))
    for (let arrived = 0; arrived < 200; arrived++) {
      const servers = createServers(12).map((server) => ({ ...server, load: loads.get(server.id) ?? 0, keptTokens: server.id === 's1' ? 8_000 : 0 }))
      const chosen = placeRequest(createQuestion(), servers, still)!
      loads.set(chosen, loads.get(chosen)! + 1)
      const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / 12
      expect(Math.max(...loads.values())).toBeLessThanOrEqual(2 * mean + 3)
    }
  })

  test('takes the least loaded when all are full', () => {
    const servers = [createCandidate('a', { slots: 6, load: 9 }), createCandidate('b', { slots: 6, load: 7 })]
    expect(placeRequest(createQuestion({ sharedTokens: 0, affinityKey: '' }), servers, still)).toBe('b')
  })

  test('stays in the zone where nothing speaks against it', () => {
    const servers = [createCandidate('far', { isInZone: false, slots: 6, load: 1 }), createCandidate('near', { slots: 6, load: 1 })]
    expect(placeRequest(createQuestion({ sharedTokens: 0, affinityKey: '' }), servers, still)).toBe('near')
  })

  // Short prompts with long answers: the answer's bytes between zones cost more than
  // a copy of the prompt into the own zone.
  test('takes a copy into the own zone rather than many bytes from another one', () => {
    const servers = [createCandidate('far', { isInZone: false, keptTokens: 600 }), createCandidate('near', { copyableTokens: 600 })]
    expect(placeRequest(createQuestion({ sharedTokens: 600, expectedBytes: 10_000 }), servers, still)).toBe('near')
  })

  test('leaves a long prompt where it is', () => {
    const servers = [createCandidate('far', { isInZone: false, keptTokens: 8_000 }), createCandidate('near', { copyableTokens: 8_000 })]
    expect(placeRequest(createQuestion({ affinityKey: '' }), servers, still)).toBe('far')
  })

  test('gives a slow server less', () => {
    const servers = [createCandidate('slow', { slowness: 8, load: 2 }), createCandidate('quick', { load: 3 })]
    expect(placeRequest(createQuestion({ sharedTokens: 0, affinityKey: '' }), servers, still)).toBe('quick')
  })

  test('leaves room under the promise for counts that are late', () => {
    expect(defaultPlacementWeights.boundFactor).toBeLessThan(2)
    expect(defaultPlacementWeights.boundSlack).toBeLessThan(3)
  })
})
