/**
 * Which places of prompt parts a node tells its peers, and whom. A place is told
 * again only when it was not heard of for a while, so that the bytes follow the
 * prompts in use and not the requests. In a large fleet one node of each zone
 * gets the news and passes them on there: with 69 nodes a node sends 4 messages
 * in a period instead of 68.
 */
import { LRUCache } from 'lru-cache'
import { growTo } from './growTo.js'
import { selectZoneReaders } from '../../../decisions/selectZoneReaders/index.js'
import type { Clock, Member, Membership, PeerMessageOf, PeerTransport } from '../../../types/index.js'

export type PlaceNews = {
  readonly add: (part: string, instanceKey: string) => void
  /** Notes what a peer tells, so that it isn't told again, and keeps it for the own zone if that is wanted. */
  readonly take: (message: PeerMessageOf<'promptPlaces'>) => void
  /** Sends what has come together. */
  readonly tell: () => void
}

export type PlaceNewsDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'send'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self'>
}

type Places = Map<string, { readonly part: string, readonly instanceKey: string }>

/** Some 15 bytes each: after a start, what a zone's engines keep goes out in a period or two. */
const PLACES_PER_MESSAGE = 1_024
/** What has to wait for its message; two zones' engines together. */
const PLACES_WAITING = 8_192
/** A quarter of the time for which a place is believed without news of it. */
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

/** Creates the news of one node; `fullMeshPeers` is the number of peers up to which it tells all of them itself. */
export const createPlaceNews = ({ clock, transport, membership }: PlaceNewsDependencies, fullMeshPeers: number): PlaceNews => {
  const toldAt = new LRUCache<string, number>(growTo(PLACES_REMEMBERED))
  const own: Places = new Map()
  const forZone: Places = new Map()

  const isNews = (place: string): boolean => clock.now() - (toldAt.get(place) ?? -Infinity) > RETELL_MS

  const collect = (places: Places, part: string, instanceKey: string): void => {
    if (places.size < PLACES_WAITING) places.set(formatPlace(part, instanceKey), { part, instanceKey })
  }

  /** Takes out what fits a message, the oldest first. */
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

  /** The first node of each zone; where that is this node, it passes on to its zone itself. */
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
      // Before peers are known, what was learnt after a start waits for them.
      if (membership.liveMembers().length <= 1) return
      if (membership.liveMembers().length - 1 > fullMeshPeers) tellThroughForwarders()
      else send(membership.liveMembers(), takeMessage(own), false)
    }
  }
}
