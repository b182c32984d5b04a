/**
 * Packs load counts for the wire. A backend server is identified by the hash of
 * its name: names would make up most of the control traffic, and indexes into a
 * list would refer to other servers on a node whose list differs by one entry.
 */
import type { PackedLoadCounts } from '../../types/index.js'

const MAXIMUM_COUNT = 0xffff
const MAXIMUM_SMALL_COUNT = 0xff
/** Tokens in one unit of unread prompts: the shortest prompts round to one or two, and 65,000 tokens fit one byte. */
export const UNREAD_UNIT_TOKENS = 256

const packNumbers = (numbers: readonly number[]): Uint8Array | Uint16Array => {
  const values = numbers.map((value) => Math.min(MAXIMUM_COUNT, value))
  return values.every((value) => value <= MAXIMUM_SMALL_COUNT) ? Uint8Array.from(values) : Uint16Array.from(values)
}

/**
 * Packs counts into typed arrays.
 *
 * @param counts - Requests in flight by the hash of the backend server's name.
 * @param unreadTokens - Prompt tokens still to be read, by the same hash; servers without requests in flight are left out.
 * @returns The hashes and, in the same order, the counts and the unread tokens: one byte each when all fit, else two.
 *
 * @example
 * packLoadCounts(new Map([[4, 2]])) // => { servers: Uint32Array [4], inFlight: Uint8Array [2] }
 */
export const packLoadCounts = (counts: ReadonlyMap<number, number>, unreadTokens: ReadonlyMap<number, number> = new Map()): PackedLoadCounts => {
  const servers = [...counts.keys()]
  const units = Array.from(counts, ([server, inFlight]) => inFlight === 0 ? 0 : Math.round((unreadTokens.get(server) ?? 0) / UNREAD_UNIT_TOKENS))
  return {
    servers: Uint32Array.from(servers),
    inFlight: packNumbers([...counts.values()]),
    ...(units.some((value) => value > 0) ? { unread: packNumbers(units) } : {})
  }
}

/**
 * Unpacks counts. Two servers with the same hash are counted as one. With 600
 * servers, such a collision occurs in about one of 24,000 fleets.
 *
 * @param packed - Hashes and counts, as received from a peer.
 * @returns Requests in flight by the hash of the backend server's name.
 *
 * @example
 * unpackLoadCounts(packLoadCounts(counts)) // => counts
 */
export const unpackLoadCounts = ({ servers, inFlight }: PackedLoadCounts): ReadonlyMap<number, number> => {
  const counts = new Map<number, number>()
  servers.forEach((server, index) => counts.set(server, inFlight[index] ?? 0))
  return counts
}

/**
 * Unpacks unread prompt tokens.
 *
 * @param packed - Hashes and unread tokens, as received from a peer.
 * @returns Tokens by the hash of the backend server's name, of the servers that have any.
 *
 * @example
 * unpackUnreadTokens({ servers: Uint32Array.of(4), inFlight: Uint8Array.of(2) }) // => an empty map: the peer's build does not send them
 */
export const unpackUnreadTokens = ({ servers, unread }: PackedLoadCounts): ReadonlyMap<number, number> => {
  const tokens = new Map<number, number>()
  if (unread?.length !== servers.length) return tokens
  servers.forEach((server, index) => { if (unread[index]! > 0) tokens.set(server, unread[index]! * UNREAD_UNIT_TOKENS) })
  return tokens
}
