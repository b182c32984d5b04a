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
  /** Tokens of the longest beginning of `parts` that the server is believed to keep. */
  readonly countKept: (parts: readonly PromptPart[], instanceKey: string) => number
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
/** Servers that one part is remembered at; a part that begins many prompts is at most of a service. */
const SERVERS_PER_PART = 64

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
 * api.countKept([{ id: 'a', tokens: 100 }], 'engine-1') // => 0
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
      countKept: (parts, instanceKey) => {
        let kept = 0
        for (const { id, tokens } of parts) {
          const at = places.get(id)?.get(instanceKey)
          if (at === undefined || clock.now() - at > KEPT_MS) return kept
          kept += tokens
        }
        return kept
      },
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
