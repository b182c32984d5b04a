import { describe, expect, test } from 'vitest'
import { defaultPlacementWeights, selectPlacement } from './index.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import type { InstanceCandidate, PlacementInput, PromptCopySource } from './index.js'

const createCandidate = (id: string, changes: Partial<InstanceCandidate> = {}): InstanceCandidate =>
  ({ id, slots: 64, load: 4, cachedPromptTokens: 0, availabilityZone: 'a', slowness: 1, ...changes })

const createInput = (changes: Partial<PlacementInput> = {}): PlacementInput =>
  ({ affinityKey: 'part', sharedTokens: 8_000, expectedBytes: 20_000, availabilityZone: 'a', ...changes })

const createServers = (count: number, changes: Partial<InstanceCandidate> = {}): readonly InstanceCandidate[] =>
  Array.from({ length: count }, (_, index) => createCandidate(`s${index}`, changes))

const fixedRandom = (): number => 0.5

const place = (input: PlacementInput, candidates: readonly InstanceCandidate[], random = fixedRandom, copySources: readonly PromptCopySource[] = []): string | undefined =>
  selectPlacement(input, candidates, copySources, random)?.id

describe('selectPlacement', () => {
  test('selects nothing without candidates', () => expect(place(createInput(), [], fixedRandom)).toBeUndefined())

  test('prefers the server that caches the prompt to a less loaded one', () => {
    const servers = [createCandidate('kept', { cachedPromptTokens: 8_000, load: 6 }), createCandidate('empty', { load: 2 })]
    expect(place(createInput(), servers, fixedRandom)).toBe('kept')
  })

  test('sends one key to one server while no cached prefix is known', () => {
    const chosen = new Set(Array.from({ length: 20 }, () => place(createInput(), createServers(12), Math.random)))
    expect(chosen.size).toBe(1)
  })

  test('spreads many keys over the servers', () => {
    const chosen = new Set(Array.from({ length: 200 }, (_, index) => place(createInput({ affinityKey: `key-${index}` }), createServers(12), fixedRandom)))
    expect(chosen.size).toBe(12)
  })

  test('moves only the keys of a server that left', () => {
    const all = createServers(12)
    const moved = Array.from({ length: 200 }, (_, index) => createInput({ affinityKey: `key-${index}` }))
      .filter((input) => place(input, all, fixedRandom) !== 's3')
      .filter((input) => place(input, all, fixedRandom) !== place(input, all.filter(({ id }) => id !== 's3'), fixedRandom))
    expect(moved).toHaveLength(0)
  })

  // A burst of requests for one shared prefix would take its server over the load bound.
  test('selects another server when the one that caches the prompt is over the bound', () => {
    const servers = [createCandidate('kept', { cachedPromptTokens: 8_000, load: 20 }), ...createServers(5, { load: 3 })]
    expect(place(createInput(), servers, fixedRandom)).not.toBe('kept')
  })

  test('keeps every load under the guaranteed bound during a burst', () => {
    const loads = new Map(createServers(12, { load: 0 }).map(({ id }) => [id, 0]))
    for (let arrived = 0; arrived < 200; arrived++) {
      const servers = createServers(12).map((server) => ({ ...server, load: loads.get(server.id) ?? 0, cachedPromptTokens: server.id === 's1' ? 8_000 : 0 }))
      const chosen = place(createInput(), servers, fixedRandom)!
      loads.set(chosen, loads.get(chosen)! + 1)
      const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / 12
      expect(Math.max(...loads.values())).toBeLessThanOrEqual(2 * mean + 3)
    }
  })

  test('selects the least loaded when all are full', () => {
    const servers = [createCandidate('a', { slots: 6, load: 9 }), createCandidate('b', { slots: 6, load: 7 })]
    expect(place(createInput({ sharedTokens: 0, affinityKey: '' }), servers, fixedRandom)).toBe('b')
  })

  test('prefers the zone of the node when all else is equal', () => {
    const servers = [createCandidate('far', { availabilityZone: 'b', slots: 6, load: 1 }), createCandidate('near', { slots: 6, load: 1 })]
    expect(place(createInput({ sharedTokens: 0, affinityKey: '' }), servers, fixedRandom)).toBe('near')
  })

  // Otherwise the bytes of a long response would cross zones to save the prefill of a short prompt.
  test('copies a prompt into its own zone when a long response from another zone costs more', () => {
    const far = createCandidate('far', { availabilityZone: 'b', cachedPromptTokens: 400 })
    const near = createCandidate('near')
    expect(selectPlacement(createInput({ sharedTokens: 400, expectedBytes: 10_000 }), [far, near], [far], fixedRandom)).toEqual({ id: 'near', copyFrom: 'far' })
  })

  test('uses the server that caches a long prompt, also in another zone', () => {
    const far = createCandidate('far', { availabilityZone: 'b', cachedPromptTokens: 8_000 })
    expect(selectPlacement(createInput({ affinityKey: '' }), [far, createCandidate('near')], [far], fixedRandom)).toEqual({ id: 'far', copyFrom: undefined })
  })

  // Nodes without prompt cache state, after a start or in a partitioned zone, find a prompt by rank alone, at its home only.
  test('copies a prompt to its home, and uses it there afterwards', () => {
    const others = createServers(8, { load: 2 })
    const home = place(createInput(), others)!
    const copySource = createCandidate(others.find(({ id }) => id !== home)!.id, { cachedPromptTokens: 8_000, load: 2 })
    const servers = others.map((server) => server.id === copySource.id ? copySource : server)
    expect(selectPlacement(createInput(), servers, [copySource], fixedRandom)).toEqual({ id: home, copyFrom: copySource.id })
    const moved = servers.map((server) => server.id === home ? { ...server, cachedPromptTokens: 8_000 } : server)
    expect(selectPlacement(createInput(), moved, moved.filter(({ cachedPromptTokens }) => cachedPromptTokens > 0), fixedRandom)).toEqual({ id: home, copyFrom: undefined })
  })

  test('makes no copy to a server that is not the home while a server that caches the prompt has capacity', () => {
    const servers = createServers(8, { load: 2 })
    const home = place(createInput(), servers)!
    const kept = servers.map((server) => server.id === home ? { ...server, cachedPromptTokens: 8_000, load: 4 } : server)
    expect(selectPlacement(createInput(), kept, kept.filter(({ id }) => id === home), fixedRandom)).toEqual({ id: home, copyFrom: undefined })
  })

  // A copy from another zone also transfers data between zones, so it costs twice as much.
  test('copies from a server of the same zone, though a server of another zone caches slightly more', () => {
    const copySources = [createCandidate('far', { availabilityZone: 'b', cachedPromptTokens: 8_000, load: 40 }), createCandidate('near', { cachedPromptTokens: 7_800, load: 40 })]
    const free = createCandidate('free', { load: 0 })
    expect(selectPlacement(createInput(), [...copySources, free, createCandidate('other', { load: 9 })], copySources, fixedRandom)).toEqual({ id: 'free', copyFrom: 'near' })
  })

  test('prefills a few tokens rather than copying them', () => {
    const copySource = { ...createCandidate('leaving'), cachedPromptTokens: 80 }
    expect(selectPlacement(createInput({ sharedTokens: 80 }), [createCandidate('next')], [copySource], fixedRandom)).toEqual({ id: 'next', copyFrom: undefined })
  })

  test('prefers a fast server with more load to a slow one', () => {
    const servers = [createCandidate('slow', { slowness: 8, load: 2 }), createCandidate('quick', { load: 3 })]
    expect(place(createInput({ sharedTokens: 0, affinityKey: '' }), servers, fixedRandom)).toBe('quick')
  })

  test('leaves room under the guaranteed bound for stale counts', () => {
    expect(defaultPlacementWeights.boundFactor).toBeLessThan(2)
    expect(defaultPlacementWeights.boundSlack).toBeLessThan(3)
  })

  // If all nodes of a zone copied prompts to the server that was least loaded at the last update, they would
  // take it over the load bound.
  test('keeps the guaranteed bound when many nodes place by the same stale loads', () => {
    const random = createSeededRandom(7).next
    const estimated = [createCandidate('empty', { load: 0 }), ...createServers(13, { load: 3 })]
    const copySource = createCandidate('keeper', { cachedPromptTokens: 8_000, load: 40 })
    const loads = new Map(estimated.map(({ id, load }) => [id, load]))
    for (let node = 0; node < 25; node++) {
      const id = place(createInput({ affinityKey: '', meanLoad: 3 }), [...estimated, copySource], random, [copySource])!
      loads.set(id, loads.get(id)! + 1)
    }
    const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / loads.size
    expect(Math.max(...loads.values())).toBeLessThanOrEqual(2 * mean + 3)
  })

  // Many nodes place short requests by the same counts, which are older than the requests that they count.
  test('spreads requests over servers whose counts say nothing any more', () => {
    const random = createSeededRandom(7).next
    const counted = [createCandidate('idle', { load: 0 }), createCandidate('near', { load: 3 }), createCandidate('far', { load: 4, availabilityZone: 'b' })]
      .map((candidate) => ({ ...candidate, slots: 6, averageOthersLoad: 2.3, countSurvival: 0.02 }))
    const chosen = Array.from({ length: 300 }, () => place(createInput({ affinityKey: '', sharedTokens: 0, expectedBytes: 1_200 }), counted, random))
    for (const { id } of counted) expect(chosen.filter((other) => other === id).length).toBeGreaterThan(80)
  })

  test('keeps requests from a server that the node itself has just sent requests to', () => {
    const counted = [createCandidate('own', { load: 3, ownLoad: 3 }), createCandidate('other', { load: 3 })].map((candidate) => ({ ...candidate, slots: 6, countSurvival: 0.02 }))
    expect(place(createInput({ affinityKey: '', sharedTokens: 0 }), counted, createSeededRandom(3).next)).toBe('other')
  })

  // The prefix of a chat with a short opening is worth less than a request in flight, and must still be found again.
  test.each([0, 3])('returns a short prompt to the server that caches it (%i requests at each)', (load) => {
    const servers = [createCandidate('other', { slots: 8, load, countSurvival: 0.5 }), createCandidate('kept', { slots: 8, load, countSurvival: 0.5, cachedPromptTokens: 200 })]
    const chosen = Array.from({ length: 20 }, () => place(createInput({ affinityKey: '', sharedTokens: 200 }), servers, createSeededRandom(3).next))
    expect(new Set(chosen)).toEqual(new Set(['kept']))
  })

  // A server in demand gets requests of all nodes while its last count is under the bound.
  test('keeps requests from a server whose load is probably over the bound by now', () => {
    const kept = createCandidate('kept', { cachedPromptTokens: 8_000, load: 4, averageOthersLoad: 7, countSurvival: 0.3 })
    const input = createInput({ affinityKey: '', meanLoad: 3 })
    expect(place(input, [kept, ...createServers(5, { load: 3 })])).not.toBe('kept')
    expect(place(input, [{ ...kept, countSurvival: 1 }, ...createServers(5, { load: 3 })])).toBe('kept')
  })

  test('selects the less loaded of two otherwise equal servers', () =>
    expect(place(createInput({ affinityKey: '' }), [createCandidate('busy', { load: 6 }), createCandidate('idle', { load: 1 })], createSeededRandom(3).next)).toBe('idle'))

  test('includes servers that may not get the request in the mean load of the bound', () => {
    const servers = [createCandidate('kept', { cachedPromptTokens: 8_000, load: 11 }), ...createServers(5, { load: 4 })]
    expect(place(createInput({ affinityKey: '' }), servers)).toBe('kept')
    expect(place(createInput({ affinityKey: '', meanLoad: 3 }), servers)).not.toBe('kept')
  })
})
