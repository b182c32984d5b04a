/**
 * Directory of cached prompt parts: estimates which backend servers have which
 * prompt parts in their prompt cache, from the requests that this node sends and
 * from announcements of peers. The directory is only a hint for placement: a
 * wrong entry costs a prompt computation, never an answer.
 */
import { LRUCache } from 'lru-cache'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, CachedParts, Membership, PeerTransport, PromptPart, Timer } from '../../types/index.js'
import { createCacheAnnouncer } from './_lib/createCacheAnnouncer.js'
import { createLruOptions } from './_lib/createLruOptions.js'
import { createDirectoryRecovery } from './_lib/createDirectoryRecovery.js'
import type { DirectoryRecoverySources } from './_lib/createDirectoryRecovery.js'

export type { DirectoryRecoverySources } from './_lib/createDirectoryRecovery.js'

export type PromptDirectory = {
  /** Records that a backend server processes these prompt parts now and so caches them. */
  readonly record: (parts: readonly PromptPart[], instanceKey: string) => void
  /** Estimated tokens of the longest prefix of `parts` that each server caches, by instance key; servers that cache none are left out. */
  readonly listCachedTokens: (parts: readonly PromptPart[]) => ReadonlyMap<string, number>
  /** Registers a listener for the end of the first recovery queries after a start. */
  readonly onRecovered: (listener: () => void) => void
}

export type PromptDirectoryDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'send' | 'handle' | 'request'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self'>
  /** Sources for recovering the directory after a start; left out where no engine can have cached anything yet. */
  readonly recovery?: DirectoryRecoverySources
}

export type PromptDirectoryOptions = {
  /** Milliseconds between two announcements to peers. */
  readonly periodMs: number
  /** Maximum number of prompt parts in the directory. */
  readonly maximumParts: number
  /** Maximum number of peers at which each node announces to all others directly. */
  readonly fullMeshPeers: number
}

/** A part that is unused for this long counts as evicted: engines evict the least recently used parts first. */
const LOCATION_LIFETIME_MS = 60_000
/** About 15 bytes each: a reply stays under 60 kB, which the network link of a small VM transfers in 70 ms. */
const MAXIMUM_LOCATIONS_PER_REPLY = 4_000
/** Maximum servers recorded for one part. This exceeds the servers of any service, since a part that starts many prompts is cached on most of them. */
const MAXIMUM_SERVERS_PER_PART = 1_024

export const defaultPromptDirectoryOptions: PromptDirectoryOptions = { periodMs: 250, maximumParts: 20_000, fullMeshPeers: 12 }

/**
 * Creates the prompt directory of one node.
 *
 * @param dependencies - Clock, peer transport, membership and the sources for recovery.
 * @param options - Limits, and the period in milliseconds.
 * @returns The service; it announces to peers from its start to its stop.
 *
 * @example
 * const { api } = createPromptDirectory({ clock, transport, membership })
 * api.listCachedTokens([{ id: 'a', tokens: 100 }]).get('engine-1') // => undefined
 */
export const createPromptDirectory = (dependencies: PromptDirectoryDependencies, options: PromptDirectoryOptions = defaultPromptDirectoryOptions): RunningService<PromptDirectory> => {
  const { clock, transport } = dependencies
  const places = new LRUCache<string, Map<string, number>>(createLruOptions(options.maximumParts))
  const announcer = createCacheAnnouncer(dependencies, options.fullMeshPeers)
  let timer: Timer | undefined

  const recordLocation = (part: string, instanceKey: string): void => {
    let servers = places.get(part)
    if (servers === undefined) {
      servers = new Map()
      places.set(part, servers)
    }
    // Deleting first moves the entry to the end, so that the map stays in order of last use.
    servers.delete(instanceKey)
    servers.set(instanceKey, clock.now())
    if (servers.size <= MAXIMUM_SERVERS_PER_PART) return
    const [oldest] = servers.keys()
    if (oldest !== undefined) servers.delete(oldest)
  }

  const recordAll = (locations: readonly CachedParts[]): void => {
    for (const { server, parts } of locations) for (const part of parts) recordLocation(part, server)
  }

  /** The most recently used parts that fit one message; the parts of each server are listed oldest first. */
  const listLocations = (): readonly CachedParts[] => {
    const byServer = new Map<string, string[]>()
    let count = 0
    for (const [part, holders] of places.entries()) {
      for (const server of holders.keys()) {
        if (count++ >= MAXIMUM_LOCATIONS_PER_REPLY) break
        const parts = byServer.get(server)
        if (parts === undefined) byServer.set(server, [part])
        else parts.push(part)
      }
    }
    return [...byServer].map(([server, parts]) => ({ server, parts: parts.reverse() }))
  }

  const record = (parts: readonly PromptPart[], instanceKey: string): void => {
    for (const [index, { id }] of parts.entries()) {
      recordLocation(id, instanceKey)
      // The last part belongs to this request only, so it is not announced to peers.
      if (index < parts.length - 1) announcer.add(id, instanceKey)
    }
  }

  const listCachedTokens = (parts: readonly PromptPart[]): ReadonlyMap<string, number> => {
    const cachedTokens = new Map<string, number>()
    const oldest = clock.now() - LOCATION_LIFETIME_MS
    let prefixTokens = 0
    for (const { id, tokens } of parts) {
      let isCached = false
      for (const [server, at] of places.get(id) ?? []) {
        if (at < oldest || (cachedTokens.get(server) ?? 0) !== prefixTokens) continue
        cachedTokens.set(server, prefixTokens + tokens)
        isCached = true
      }
      if (!isCached) break
      prefixTokens += tokens
    }
    return cachedTokens
  }

  const recovery = dependencies.recovery && createDirectoryRecovery({
    ...dependencies,
    recovery: dependencies.recovery,
    hasLocations: (instanceKey) => [...places.values()].some((servers) => servers.has(instanceKey)),
    recordAll,
    announce: announcer.add
  })
  recovery?.onRecovered(() => announcer.flush())

  const announceToPeers = (): void => {
    timer = clock.setTimer(options.periodMs, announceToPeers)
    announcer.flush()
  }

  return {
    api: {
      record,
      listCachedTokens,
      onRecovered: (listener) => recovery?.onRecovered(listener)
    },
    start: () => {
      transport.handle('promptPlaces', (message) => {
        recordAll(message.places)
        announcer.receive(message)
        return { kind: 'none' }
      })
      transport.handle('promptPlacesRequest', () => ({ kind: 'promptPlaces', places: listLocations(), isWhole: recovery?.isWhole() ?? true }))
      recovery?.start()
      timer = clock.setTimer(options.periodMs, announceToPeers)
    },
    stop: () => timer?.cancel()
  }
}
