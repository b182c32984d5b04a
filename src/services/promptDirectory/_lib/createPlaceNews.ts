/**
 * Announces to peers which servers cache which prompt parts. A location is
 * announced again only when no node has announced it for a while, so that the
 * traffic follows the number of prompts in use, not the number of requests. In a
 * large fleet one node of each zone receives the announcements and forwards them
 * within its zone: with 69 nodes a node sends 4 messages in a period instead of 68.
 */
import { LRUCache } from 'lru-cache'
import { growTo } from './growTo.js'
import { selectZoneReaders } from '../../../decisions/selectZoneReaders/index.js'
import type { Clock, Member, Membership, PeerMessageOf, PeerTransport } from '../../../types/index.js'

export type PlaceNews = {
  readonly add: (part: string, instanceKey: string) => void
  /** Records a peer's announcement, so that it isn't repeated, and queues it for this zone if the peer requests that. */
  readonly take: (message: PeerMessageOf<'promptPlaces'>) => void
  /** Sends the queued announcements. */
  readonly tell: () => void
}

export type PlaceNewsDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'send'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self'>
}

type Places = Map<string, { readonly part: string, readonly instanceKey: string }>

/** About 15 bytes each: after a start, the cached parts of a zone's engines are announced within one or two periods. */
const PLACES_PER_MESSAGE = 1_024
/** Maximum queued locations: enough for the engines of two zones together. */
const PLACES_WAITING = 8_192
/** A quarter of the time after which a location that is not announced again counts as evicted. */
const RETELL_MS = 15_000
const PLACES_REMEMBERED = 20_000

const formatPlace = (part: string, instanceKey: string): string => `${part} ${instanceKey}`

const toMessage = (places: Places, isForZone: boolean): PeerMessageOf<'promptPlaces'> => {
  const byServer = new Map<string, string[]>()
  for (const { part, instanceKey } of places.values()) {
    const parts = byServer.get(instanceKey)
    if (parts === undefined) byServer.set(instanceKey, [part])
    else parts.push(part)
  }
  return { kind: 'promptPlaces', places: [...byServer].map(([server, parts]) => ({ server, parts })), ...(isForZone ? { isForZone } : {}) }
}

/** Creates the announcer of one node. Up to `fullMeshPeers` peers, it sends to all of them directly. */
export const createPlaceNews = ({ clock, transport, membership }: PlaceNewsDependencies, fullMeshPeers: number): PlaceNews => {
  const toldAt = new LRUCache<string, number>(growTo(PLACES_REMEMBERED))
  const own: Places = new Map()
  const forZone: Places = new Map()

  const isNews = (place: string): boolean => clock.now() - (toldAt.get(place) ?? -Infinity) > RETELL_MS

  const collect = (places: Places, part: string, instanceKey: string): void => {
    if (places.size < PLACES_WAITING) places.set(formatPlace(part, instanceKey), { part, instanceKey })
  }

  /** Removes and returns the oldest queued locations that fit one message. */
  const takeMessage = (places: Places): Places => {
    const taken: Places = new Map([...places].slice(0, PLACES_PER_MESSAGE))
    for (const place of taken.keys()) places.delete(place)
    return taken
  }

  const send = (receivers: readonly Member[], places: Places, isForZone: boolean): void => {
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

  const tellThroughForwarders = (): void => {
    if (own.size + forZone.size === 0) return
    const { nodeId, availabilityZone } = membership.self()
    const forwarders = listForwarders()
    const told = takeMessage(own)
    send(forwarders, told, true)
    if (forwarders.some((forwarder) => forwarder.nodeId === nodeId)) for (const { part, instanceKey } of told.values()) collect(forZone, part, instanceKey)
    send(membership.liveMembers().filter((member) => member.availabilityZone === availabilityZone), takeMessage(forZone), false)
  }

  return {
    add: (part, instanceKey) => {
      const place = formatPlace(part, instanceKey)
      if (!isNews(place)) return
      toldAt.set(place, clock.now())
      collect(own, part, instanceKey)
    },
    take: ({ places, isForZone }) => {
      for (const { server, parts } of places) {
        for (const part of parts) {
          toldAt.set(formatPlace(part, server), clock.now())
          if (isForZone === true) collect(forZone, part, server)
        }
      }
    },
    tell: () => {
      // While no peers are known, locations that were recovered after a start stay queued.
      if (membership.liveMembers().length <= 1) return
      if (membership.liveMembers().length - 1 > fullMeshPeers) tellThroughForwarders()
      else send(membership.liveMembers(), takeMessage(own), false)
    }
  }
}
