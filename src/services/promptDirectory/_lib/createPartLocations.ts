/**
 * Which backend servers cache which prompt parts, and which are reading them now.
 * A read in progress counts until it is completed, abandoned or overdue: the server
 * that reads, or the node that announced the read, may be gone.
 */
import { LRUCache } from 'lru-cache'
import { createLruOptions } from './createLruOptions.js'
import type { Clock, PromptPart } from '../../../types/index.js'

/** State of a part at a server, by which a location can be used. */
export type LocationState = 'cached' | 'reading'

type Location = {
  readonly usedAt: number
  /** When a read in progress counts as lost, in monotonic milliseconds; `undefined` once the part is cached. */
  readonly readUntil: number | undefined
}

export type PartLocations = {
  /** Records a use of a part that the server caches. */
  readonly recordCached: (part: string, instanceKey: string) => void
  /** Records that the server reads a part; returns whether that was not known. A part that is cached there stays so. */
  readonly recordReading: (part: string, instanceKey: string) => boolean
  /** Forgets the part at the server if its read is not completed. */
  readonly abandonRead: (part: string, instanceKey: string) => void
  /** Tokens of the longest prefix of `parts` at each server, with or without reads in progress. */
  readonly listTokens: (parts: readonly PromptPart[], states: ReadonlySet<LocationState>) => ReadonlyMap<string, number>
  readonly has: (instanceKey: string) => boolean
  /** Cached parts with the servers that cache them, most recently used parts first. */
  readonly listCached: () => Iterable<readonly [part: string, instanceKeys: readonly string[]]>
}

/** A part that is unused for this long counts as evicted: engines evict the least recently used parts first. */
const LOCATION_LIFETIME_MS = 60_000
/** Longest time for which a read counts as in progress; a prompt that takes longer has missed its caller's target. */
const READ_LIFETIME_MS = 3_000
/** Maximum servers recorded for one part. This exceeds the servers of any service, since a part that starts many prompts is cached on most of them. */
const MAXIMUM_SERVERS_PER_PART = 1_024

/** Creates the locations of one node, without any. */
export const createPartLocations = (clock: Clock, maximumParts: number): PartLocations => {
  const places = new LRUCache<string, Map<string, Location>>(createLruOptions(maximumParts))

  const readState = ({ usedAt, readUntil }: Location): LocationState | undefined => {
    if (readUntil !== undefined) return readUntil > clock.now() ? 'reading' : undefined
    return usedAt >= clock.now() - LOCATION_LIFETIME_MS ? 'cached' : undefined
  }

  const set = (part: string, instanceKey: string, location: Location): void => {
    let servers = places.get(part)
    if (servers === undefined) {
      servers = new Map()
      places.set(part, servers)
    }
    // Deleting first moves the entry to the end, so that the map stays in order of last use.
    servers.delete(instanceKey)
    servers.set(instanceKey, location)
    if (servers.size <= MAXIMUM_SERVERS_PER_PART) return
    const [oldest] = servers.keys()
    if (oldest !== undefined) servers.delete(oldest)
  }

  const find = (part: string, instanceKey: string): LocationState | undefined => {
    const location = places.get(part)?.get(instanceKey)
    return location && readState(location)
  }

  const recordCached = (part: string, instanceKey: string): void => set(part, instanceKey, { usedAt: clock.now(), readUntil: undefined })

  return {
    recordCached,
    recordReading: (part, instanceKey) => {
      const state = find(part, instanceKey)
      if (state === 'cached') recordCached(part, instanceKey)
      if (state !== undefined) return false
      set(part, instanceKey, { usedAt: clock.now(), readUntil: clock.now() + READ_LIFETIME_MS })
      return true
    },
    abandonRead: (part, instanceKey) => {
      const servers = places.get(part)
      if (servers?.get(instanceKey)?.readUntil !== undefined) servers.delete(instanceKey)
    },
    listTokens: (parts, states) => {
      const tokensByServer = new Map<string, number>()
      let prefixTokens = 0
      for (const { id, tokens } of parts) {
        let isKnown = false
        for (const [server, location] of places.get(id) ?? []) {
          if ((tokensByServer.get(server) ?? 0) !== prefixTokens) continue
          const state = readState(location)
          if (state === undefined || !states.has(state)) continue
          tokensByServer.set(server, prefixTokens + tokens)
          isKnown = true
        }
        if (!isKnown) break
        prefixTokens += tokens
      }
      return tokensByServer
    },
    has: (instanceKey) => [...places.values()].some((servers) => servers.has(instanceKey)),
    listCached: function * () {
      for (const [part, servers] of places.entries()) yield [part, [...servers].filter(([, { readUntil }]) => readUntil === undefined).map(([server]) => server)]
    }
  }
}
