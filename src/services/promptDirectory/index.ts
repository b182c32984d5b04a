/**
 * Which prompt parts are believed to be in which backend server's memory, from
 * this node's own sends and from what peers tell of theirs. Advice only: a
 * wrong belief costs a read of the prompt, never an answer.
 */
import { LRUCache } from 'lru-cache'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, Membership, PeerTransport, PromptPart, Timer } from '../../types/index.js'
import { createPlaceNews } from './_lib/createPlaceNews.js'
import { recoverPlaces } from './_lib/recoverPlaces.js'
import type { PlacesRecovery } from './_lib/recoverPlaces.js'

export type PromptDirectory = {
  /** Notes that a backend server reads or has read these parts now. */
  readonly record: (parts: readonly PromptPart[], instanceKey: string) => void
  /** Tokens of the longest beginning of `parts` that the server is believed to keep. */
  readonly countKept: (parts: readonly PromptPart[], instanceKey: string) => number
  /** Called when all that was asked after a start has answered. */
  readonly onRecovered: (listener: () => void) => void
}

export type PromptDirectoryDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'send' | 'handle' | 'request'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self'>
  /** How to learn after a start what engines keep; left out where nothing can be kept yet. */
  readonly recovery?: PlacesRecovery
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
/** Some 40 bytes each: a reply stays under 200 kB. */
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
  const places = new LRUCache<string, Map<string, number>>({ max: options.maximumParts })
  const news = createPlaceNews(dependencies, options.fullMeshPeers)
  const recoveryListeners: (() => void)[] = []
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

  const noteAll = (parts: readonly string[], servers: readonly string[]): void => {
    for (const [index, part] of parts.entries()) {
      const server = servers[index]
      if (server !== undefined) note(part, server)
    }
  }

  /** The parts used last, oldest first, as far as they fit a message. */
  const listPlaces = (): { readonly parts: readonly string[], readonly servers: readonly string[] } => {
    const parts: string[] = []
    const servers: string[] = []
    for (const [part, holders] of places.entries()) {
      for (const server of holders.keys()) {
        if (parts.length >= PLACES_PER_REPLY) break
        parts.push(part)
        servers.push(server)
      }
    }
    return { parts: parts.reverse(), servers: servers.reverse() }
  }

  const record = (parts: readonly PromptPart[], instanceKey: string): void => {
    for (const [index, { id }] of parts.entries()) {
      note(id, instanceKey)
      // The last part is the request's own; peers have no use for it.
      if (index < parts.length - 1) news.add(id, instanceKey)
    }
  }

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
      onRecovered: (listener) => { recoveryListeners.push(listener) }
    },
    start: () => {
      transport.handle('promptPlaces', (message) => {
        noteAll(message.parts, message.servers)
        news.take(message)
        return { kind: 'none' }
      })
      transport.handle('promptPlacesRequest', () => ({ kind: 'promptPlaces', ...listPlaces() }))
      if (dependencies.recovery !== undefined) {
        recoverPlaces({
          ...dependencies,
          recovery: dependencies.recovery,
          isKnown: (instanceKey) => [...places.values()].some((servers) => servers.has(instanceKey)),
          noteAll,
          tell: news.add
        }).then(() => { for (const listener of recoveryListeners) listener() })
      }
      timer = clock.setTimer(options.periodMs, tellPeers)
    },
    stop: () => timer?.cancel()
  }
}
