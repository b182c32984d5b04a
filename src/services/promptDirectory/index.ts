/**
 * Which prompt parts are believed to be in which backend server's memory, from
 * this node's own sends and from what peers tell of theirs. Advice only: a
 * wrong belief costs a read of the prompt, never an answer.
 */
import { LRUCache } from 'lru-cache'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, KeptParts, Membership, PeerTransport, PromptPart, Timer } from '../../types/index.js'
import { createPlaceNews } from './_lib/createPlaceNews.js'
import { growTo } from './_lib/growTo.js'
import { createPlacesRecovery } from './_lib/createPlacesRecovery.js'
import type { PlacesRecoverySources } from './_lib/createPlacesRecovery.js'

export type { PlacesRecoverySources } from './_lib/createPlacesRecovery.js'

export type PromptDirectory = {
  /** Notes that a backend server reads or has read these parts now. */
  readonly record: (parts: readonly PromptPart[], instanceKey: string) => void
  /** Tokens of the longest beginning of `parts` that each server is believed to keep, by its key; servers that keep none are left out. */
  readonly listKept: (parts: readonly PromptPart[]) => ReadonlyMap<string, number>
  /** Called when what was asked at a start has been answered. */
  readonly onLearnt: (listener: () => void) => void
}

export type PromptDirectoryDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'send' | 'handle' | 'request'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self'>
  /** How to learn after a start what engines keep; left out where nothing can be kept yet. */
  readonly recovery?: PlacesRecoverySources
}

export type PromptDirectoryOptions = {
  /** Time between two messages to peers in milliseconds. */
  readonly periodMs: number
  /** Parts that are remembered at most. */
  readonly maximumParts: number
  /** Peers up to which each node tells all others itself. */
  readonly fullMeshPeers: number
}

/** A part unused for so long is taken for evicted: engines keep the parts used last. */
const KEPT_MS = 60_000
/** Some 15 bytes each: a reply stays under 60 kB, which a small VM's link takes in 70 ms. */
const PLACES_PER_REPLY = 4_000
/** Servers that one part is remembered at: more than any service has, since a part that begins many prompts is at most of them. */
const SERVERS_PER_PART = 1_024

export const defaultPromptDirectoryOptions: PromptDirectoryOptions = { periodMs: 250, maximumParts: 20_000, fullMeshPeers: 12 }

/**
 * Creates the directory.
 *
 * @param dependencies - Clock, peers and who they are.
 * @param options - Sizes and the period.
 * @returns The service; it tells peers from its start to its stop.
 *
 * @example
 * const { api } = createPromptDirectory({ clock, transport, membership })
 * api.listKept([{ id: 'a', tokens: 100 }]).get('engine-1') // => undefined
 */
export const createPromptDirectory = (dependencies: PromptDirectoryDependencies, options: PromptDirectoryOptions = defaultPromptDirectoryOptions): RunningService<PromptDirectory> => {
  const { clock, transport } = dependencies
  const places = new LRUCache<string, Map<string, number>>(growTo(options.maximumParts))
  const news = createPlaceNews(dependencies, options.fullMeshPeers)
  let timer: Timer | undefined

  const note = (part: string, instanceKey: string): void => {
    let servers = places.get(part)
    if (servers === undefined) {
      servers = new Map()
      places.set(part, servers)
    }
    // Deleting first keeps the map in the order of last use.
    servers.delete(instanceKey)
    servers.set(instanceKey, clock.now())
    if (servers.size <= SERVERS_PER_PART) return
    const [oldest] = servers.keys()
    if (oldest !== undefined) servers.delete(oldest)
  }

  const noteAll = (kept: readonly KeptParts[]): void => {
    for (const { server, parts } of kept) for (const part of parts) note(part, server)
  }

  /** The parts used last, oldest first, as far as they fit a message. */
  const listPlaces = (): readonly KeptParts[] => {
    const byServer = new Map<string, string[]>()
    let count = 0
    for (const [part, holders] of places.entries()) {
      for (const server of holders.keys()) {
        if (count++ >= PLACES_PER_REPLY) break
        const parts = byServer.get(server)
        if (parts === undefined) byServer.set(server, [part])
        else parts.push(part)
      }
    }
    return [...byServer].map(([server, parts]) => ({ server, parts: parts.reverse() }))
  }

  const record = (parts: readonly PromptPart[], instanceKey: string): void => {
    for (const [index, { id }] of parts.entries()) {
      note(id, instanceKey)
      // The last part is the request's own; peers have no use for it.
      if (index < parts.length - 1) news.add(id, instanceKey)
    }
  }

  const listKept = (parts: readonly PromptPart[]): ReadonlyMap<string, number> => {
    const kept = new Map<string, number>()
    const oldest = clock.now() - KEPT_MS
    let beginning = 0
    for (const { id, tokens } of parts) {
      let isKept = false
      for (const [server, at] of places.get(id) ?? []) {
        if (at < oldest || (kept.get(server) ?? 0) !== beginning) continue
        kept.set(server, beginning + tokens)
        isKept = true
      }
      if (!isKept) break
      beginning += tokens
    }
    return kept
  }

  const recovery = dependencies.recovery && createPlacesRecovery({
    ...dependencies,
    recovery: dependencies.recovery,
    isKnown: (instanceKey) => [...places.values()].some((servers) => servers.has(instanceKey)),
    noteAll,
    tell: news.add
  })
  recovery?.onLearnt(() => news.tell())

  const tellPeers = (): void => {
    timer = clock.setTimer(options.periodMs, tellPeers)
    news.tell()
  }

  return {
    api: {
      record,
      listKept,
      onLearnt: (listener) => recovery?.onLearnt(listener)
    },
    start: () => {
      transport.handle('promptPlaces', (message) => {
        noteAll(message.places)
        news.take(message)
        return { kind: 'none' }
      })
      transport.handle('promptPlacesRequest', () => ({ kind: 'promptPlaces', places: listPlaces(), isWhole: recovery?.isWhole() ?? true }))
      recovery?.start()
      timer = clock.setTimer(options.periodMs, tellPeers)
    },
    stop: () => timer?.cancel()
  }
}
