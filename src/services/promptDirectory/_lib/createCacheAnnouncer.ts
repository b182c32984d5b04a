/**
 * Announces to peers which servers cache which prompt parts. A location is
 * announced again only when no node has announced it for a while, so that the
 * traffic follows the number of prompts in use, not the number of requests. In a
 * large fleet one node of each zone receives the announcements and forwards them
 * within its zone: with 69 nodes a node sends 4 messages in a period instead of 68.
 */
import { LRUCache } from 'lru-cache'
import type { LocationState } from './createPartLocations.js'
import { createLruOptions } from './createLruOptions.js'
import { selectZoneReaders } from '../../../decisions/selectZoneReaders/index.js'
import type { Clock, Member, Membership, PeerMessageOf, PeerTransport } from '../../../types/index.js'

export type CacheAnnouncer = {
  /** Queues a location; a part that is announced as being read is announced again once it is cached. */
  readonly add: (part: string, instanceKey: string, state: LocationState) => void
  /** Records a peer's announcement, so that it isn't repeated, and queues it for this zone if the peer requests that. */
  readonly receive: (message: PeerMessageOf<'promptPlaces'>) => void
  /** Sends the queued announcements. */
  readonly flush: () => void
}

export type CacheAnnouncerDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'send'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self'>
}

type Locations = Map<string, { readonly part: string, readonly instanceKey: string, readonly state: LocationState }>

/** About 15 bytes each: after a start, the cached parts of a zone's engines are announced within one or two periods. */
const MAXIMUM_LOCATIONS_PER_MESSAGE = 1_024
/** Maximum queued locations: enough for the engines of two zones together. */
const MAXIMUM_QUEUED_LOCATIONS = 8_192
/** A quarter of the time after which a location that is not announced again counts as evicted. */
const REANNOUNCE_MS = 15_000
const MAXIMUM_TRACKED_LOCATIONS = 20_000

const formatLocation = (part: string, instanceKey: string): string => `${part} ${instanceKey}`

const toMessage = (places: Locations, isForZone: boolean): PeerMessageOf<'promptPlaces'> => {
  const byServer = new Map<string, Record<LocationState, string[]>>()
  for (const { part, instanceKey, state } of places.values()) {
    const parts = byServer.get(instanceKey) ?? { cached: [], reading: [] }
    byServer.set(instanceKey, parts)
    parts[state].push(part)
  }
  const messagePlaces = [...byServer].map(([server, { cached, reading }]) => ({ server, parts: cached, ...(reading.length > 0 ? { reading } : {}) }))
  return { kind: 'promptPlaces', places: messagePlaces, ...(isForZone ? { isForZone } : {}) }
}

/** Creates the announcer of one node. Up to `fullMeshPeers` peers, it sends to all of them directly. */
export const createCacheAnnouncer = ({ clock, transport, membership }: CacheAnnouncerDependencies, fullMeshPeers: number): CacheAnnouncer => {
  const announcedAt = new LRUCache<string, number>(createLruOptions(MAXIMUM_TRACKED_LOCATIONS))
  const own: Locations = new Map()
  const forZone: Locations = new Map()

  const isDue = (location: string): boolean => clock.now() - (announcedAt.get(location) ?? -Infinity) > REANNOUNCE_MS

  const enqueue = (places: Locations, part: string, instanceKey: string, state: LocationState): void => {
    const location = formatLocation(part, instanceKey)
    if (state === 'reading' && places.has(location)) return
    if (places.size < MAXIMUM_QUEUED_LOCATIONS) places.set(location, { part, instanceKey, state })
  }

  /** Removes and returns the oldest queued locations that fit one message. */
  const takeMessage = (places: Locations): Locations => {
    const taken: Locations = new Map([...places].slice(0, MAXIMUM_LOCATIONS_PER_MESSAGE))
    for (const location of taken.keys()) places.delete(location)
    return taken
  }

  const send = (receivers: readonly Member[], places: Locations, isForZone: boolean): void => {
    if (places.size === 0) return
    const message = toMessage(places, isForZone)
    const self = membership.self().nodeId
    for (const { nodeId, address } of receivers) if (nodeId !== self) transport.send(address, message)
  }

  /** The node of each zone that forwards announcements there; this may be the node itself. */
  const listForwarders = (): readonly Member[] => {
    const members = membership.liveMembers()
    const zones = new Set(members.map(({ availabilityZone }) => availabilityZone))
    return [...zones].flatMap((zone) => selectZoneReaders(zone, members, 1))
  }

  const sendThroughForwarders = (): void => {
    if (own.size + forZone.size === 0) return
    const { nodeId, availabilityZone } = membership.self()
    const forwarders = listForwarders()
    const announced = takeMessage(own)
    send(forwarders, announced, true)
    if (forwarders.some((forwarder) => forwarder.nodeId === nodeId)) for (const { part, instanceKey, state } of announced.values()) enqueue(forZone, part, instanceKey, state)
    send(membership.liveMembers().filter((member) => member.availabilityZone === availabilityZone), takeMessage(forZone), false)
  }

  return {
    add: (part, instanceKey, state) => {
      const location = formatLocation(part, instanceKey)
      if (!isDue(location)) return
      if (state === 'cached') announcedAt.set(location, clock.now())
      enqueue(own, part, instanceKey, state)
    },
    receive: ({ places, isForZone }) => {
      for (const { server, parts, reading } of places) {
        for (const part of parts) {
          announcedAt.set(formatLocation(part, server), clock.now())
          if (isForZone === true) enqueue(forZone, part, server, 'cached')
        }
        if (isForZone === true) for (const part of reading ?? []) enqueue(forZone, part, server, 'reading')
      }
    },
    flush: () => {
      // While no peers are known, locations that were recovered after a start stay queued.
      if (membership.liveMembers().length <= 1) return
      if (membership.liveMembers().length - 1 > fullMeshPeers) sendThroughForwarders()
      else send(membership.liveMembers(), takeMessage(own), false)
    }
  }
}
