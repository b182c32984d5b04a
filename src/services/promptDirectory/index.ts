/**
 * Directory of cached prompt parts: estimates which backend servers have which
 * prompt parts in their prompt cache, and which are reading them now, from the
 * requests that this node sends and from announcements of peers. The directory is only a hint for placement: a
 * wrong entry costs a prompt computation, never an answer.
 */
import type { RunningService } from '../../kernel/index.js'
import type { Clock, CachedParts, Membership, PeerTransport, PromptPart, Timer } from '../../types/index.js'
import { createCacheAnnouncer } from './_lib/createCacheAnnouncer.js'
import { createPartLocations } from './_lib/createPartLocations.js'
import type { LocationState } from './_lib/createPartLocations.js'
import { createDirectoryRecovery } from './_lib/createDirectoryRecovery.js'
import type { DirectoryRecoverySources } from './_lib/createDirectoryRecovery.js'

export type { DirectoryRecoverySources } from './_lib/createDirectoryRecovery.js'

export type PromptRead = {
  /** The server has read all parts. */
  readonly complete: () => void
  /** The server does not read the parts after all; without effect once the read is complete. */
  readonly abandon: () => void
}

export type PromptDirectory = {
  /** Records that a backend server processes these prompt parts now and so caches them. */
  readonly record: (parts: readonly PromptPart[], instanceKey: string) => void
  /** Estimated tokens of the longest prefix of `parts` that each server caches, by instance key; servers that cache none are left out. */
  readonly listCachedTokens: (parts: readonly PromptPart[]) => ReadonlyMap<string, number>
  /** The same without parts that a server is still reading: a copy from it would not include them. */
  readonly listCopyableTokens: (parts: readonly PromptPart[]) => ReadonlyMap<string, number>
  /**
   * Records that a backend server begins to read these prompt parts. Until the read is completed, the parts count as
   * cached there for placement, but not for copies.
   */
  readonly beginRead: (parts: readonly PromptPart[], instanceKey: string) => PromptRead
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

/** About 15 bytes each: a reply stays under 60 kB, which the network link of a small VM transfers in 70 ms. */
const MAXIMUM_LOCATIONS_PER_REPLY = 4_000

const CACHED: ReadonlySet<LocationState> = new Set(['cached'])
const CACHED_OR_READING: ReadonlySet<LocationState> = new Set(['cached', 'reading'])

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
  const locations = createPartLocations(clock, options.maximumParts)
  const announcer = createCacheAnnouncer(dependencies, options.fullMeshPeers)
  let timer: Timer | undefined

  const recordAll = (places: readonly CachedParts[]): void => {
    for (const { server, parts, reading } of places) {
      for (const part of parts) locations.recordCached(part, server)
      for (const part of reading ?? []) locations.recordReading(part, server)
    }
  }

  /** The most recently used parts that fit one message; the parts of each server are listed oldest first. */
  const listLocations = (): readonly CachedParts[] => {
    const byServer = new Map<string, string[]>()
    let count = 0
    for (const [part, servers] of locations.listCached()) {
      for (const server of servers) {
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
      locations.recordCached(id, instanceKey)
      // The last part belongs to this request only, so it is not announced to peers.
      if (index < parts.length - 1) announcer.add(id, instanceKey, 'cached')
    }
  }

  const beginRead = (parts: readonly PromptPart[], instanceKey: string): PromptRead => {
    const begun = parts.filter(({ id }) => locations.recordReading(id, instanceKey))
    for (const { id } of begun) if (id !== parts.at(-1)?.id) announcer.add(id, instanceKey, 'reading')
    let isComplete = false
    return {
      complete: () => {
        if (isComplete) return
        isComplete = true
        record(parts, instanceKey)
      },
      abandon: () => {
        if (isComplete) return
        for (const { id } of begun) locations.abandonRead(id, instanceKey)
      }
    }
  }

  const recovery = dependencies.recovery && createDirectoryRecovery({
    ...dependencies,
    recovery: dependencies.recovery,
    hasLocations: locations.has,
    recordAll,
    announce: (part, instanceKey) => announcer.add(part, instanceKey, 'cached')
  })
  recovery?.onRecovered(() => announcer.flush())

  const announceToPeers = (): void => {
    timer = clock.setTimer(options.periodMs, announceToPeers)
    announcer.flush()
  }

  return {
    api: {
      record,
      beginRead,
      listCachedTokens: (parts) => locations.listTokens(parts, CACHED_OR_READING),
      listCopyableTokens: (parts) => locations.listTokens(parts, CACHED),
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
