import { describe, expect, test } from 'vitest'
import { findPromptHome, selectPromptHome } from './index.js'
import type { PromptHomeCandidate, PromptHomeInput } from './index.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'

const ZONES = ['a', 'b', 'c', 'd']
const SERVERS: readonly PromptHomeCandidate[] = Array.from({ length: 24 }, (_, index) => ({ id: `s${index}`, availabilityZone: ZONES[index % ZONES.length]! }))
const TOKENS = 8_000
/** A copy of 8,000 tokens between zones takes 12.8 ms, an exchange between zones 5.5 ms. */
const ENGINE = { bytesPerToken: 100_000, linkMbps: 1_000_000, memoryTokens: 200_000 }

/** Zone nodes that ask for prompts in turn; they learn of copies with the next request, as by announcements. */
const createZones = (engine = ENGINE, createdRandom = createSeededRandom(11).next) => {
  const cached = new Map<string, Set<string>>()
  let copies = 0
  let crossings = 0
  const countTokens = (id: string): number => [...cached.values()].filter((servers) => servers.has(id)).length * TOKENS
  const request = (affinityKey: string, availabilityZone: string): string | undefined => {
    const holders = cached.get(affinityKey) ?? new Set<string>()
    cached.set(affinityKey, holders)
    const input: PromptHomeInput = {
      affinityKey,
      sharedTokens: TOKENS,
      expectedBytes: 11_000,
      availabilityZone,
      engine,
      readCachedTokens: (id) => holders.has(id) ? TOKENS : 0,
      copyableTokens: holders.size > 0 ? TOKENS : 0,
      estimateUsedTokens: countTokens
    }
    const home = selectPromptHome(input, SERVERS, createdRandom)
    if (home === undefined) return undefined
    if (!holders.has(home) && holders.size > 0) copies += 1
    if (SERVERS.find(({ id }) => id === home)!.availabilityZone !== availabilityZone) crossings += 1
    holders.add(home)
    return home
  }
  return { request, listHomes: (key: string) => [...cached.get(key) ?? []], countTokens, readCopies: () => copies, readCrossings: () => crossings }
}

const askInAllZones = (zones: ReturnType<typeof createZones>, key: string, rounds: number): void => {
  for (let round = 0; round < rounds; round++) for (const zone of ZONES) zones.request(key, zone)
}

describe('selectPromptHome', () => {
  test('selects none when nothing is shared', () => expect(createZones().request('', 'a')).toBeUndefined())

  test('selects the highest-ranked server while no server caches the prompt', () => {
    for (const zone of ZONES) expect(createZones().request('menu', zone)).toBe(findPromptHome('menu', SERVERS)?.id)
  })

  // Load pattern: a hot prompt with long bodies that is asked for in every zone.
  test('gives a hot prompt a home in each zone, so that its bodies stop crossing zones', () => {
    const zones = createZones()
    askInAllZones(zones, 'menu', 50)
    expect(zones.listHomes('menu')).toHaveLength(ZONES.length)
    expect(zones.readCopies()).toBe(ZONES.length - 1)
    expect(zones.readCrossings()).toBeLessThan(150 * 0.1)
  })

  test('copies prompts that are asked for once in a zone only in part', () => {
    const zones = createZones()
    for (let index = 0; index < 100; index++) askInAllZones(zones, `cold-${index}`, 1)
    const share = zones.readCopies() / 300
    expect(share).toBeGreaterThan(0.3)
    expect(share).toBeLessThan(0.55)
  })

  test('makes fewer copies when they are slow', () => {
    const zones = createZones({ ...ENGINE, linkMbps: 10_000 })
    askInAllZones(zones, 'menu', 5)
    expect(zones.listHomes('menu')).toHaveLength(1)
  })

  // Load pattern: a burst over many prompts of one subject, which would push the prompts of others out of the caches.
  test('fills no server beyond half of its memory with further homes', () => {
    const zones = createZones()
    for (let index = 0; index < 300; index++) askInAllZones(zones, `burst-${index}`, 4)
    const countFurther = (id: string): number => Array.from({ length: 300 }, (_, index) => `burst-${index}`)
      .filter((key) => zones.listHomes(key).includes(id) && findPromptHome(key, SERVERS)?.id !== id).length * TOKENS
    for (const { id } of SERVERS) expect(countFurther(id)).toBeLessThanOrEqual(ENGINE.memoryTokens / 2)
    expect(zones.readCopies()).toBeLessThan(300)
  })

  test('uses the home of a zone that has the prompt, also without room for more', () => {
    const zones = createZones({ ...ENGINE, memoryTokens: 0 })
    askInAllZones(zones, 'menu', 10)
    expect(zones.listHomes('menu')).toHaveLength(1)
  })
})
