/**
 * Packs load digests for the wire, with hashes in place of the names of backend servers.
 */
import { hashText } from '../../hashing/index.js'
import { packLoadCounts, unpackLoadCounts, unpackUnreadTokens } from '../packLoadCounts/index.js'
import type { LoadDigest, PackedLoadDigest } from '../../types/index.js'

/**
 * Packs a digest of one router.
 *
 * @param digest - The digest, with names of backend servers.
 * @param unreadTokens - Prompt tokens that the servers have still to read for this router, by their names.
 * @returns The message to send.
 *
 * @example
 * packLoadDigest(digest).servers // => Uint32Array with the hash of each name
 */
export const packLoadDigest = ({ source, sequence, full, counts }: LoadDigest, unreadTokens: ReadonlyMap<string, number> = new Map()): PackedLoadDigest => {
  const byHash = new Map(counts.map(({ backendServer, inFlight }) => [hashText(backendServer), inFlight]))
  const unreadByHash = new Map(counts.map(({ backendServer }) => [hashText(backendServer), unreadTokens.get(backendServer) ?? 0]))
  return { kind: 'loadDigest', source, sequence, full, ...packLoadCounts(byHash, unreadByHash) }
}

/**
 * Unpacks a digest.
 *
 * @param packed - The received message.
 * @returns The digest, with each name replaced by its hash as `formatServerHash` formats it.
 *
 * @example
 * unpackLoadDigest(packLoadDigest(digest)).counts[0]?.backendServer // => formatServerHash('engine-1')
 */
export const unpackLoadDigest = ({ source, sequence, full, ...packed }: PackedLoadDigest): LoadDigest => ({
  source,
  sequence,
  full,
  counts: Array.from(unpackLoadCounts(packed), ([hash, inFlight]) => ({ backendServer: String(hash), inFlight }))
})

/**
 * Unpacks the unread prompt tokens of a digest.
 *
 * @param packed - The received message.
 * @returns Tokens by the hash of the server's name, for each server of the digest; 0 where its sender states none.
 *
 * @example
 * unpackUnreadDigest(packLoadDigest(digest)).get(formatServerHash('engine-1')) // => 0
 */
export const unpackUnreadDigest = (packed: PackedLoadDigest): ReadonlyMap<string, number> => {
  const unread = unpackUnreadTokens(packed)
  return new Map(Array.from(packed.servers, (hash) => [String(hash), unread.get(hash) ?? 0]))
}

/**
 * Formats the hash that replaces a backend server's name in an unpacked digest.
 *
 * @param backendServer - Name of the backend server.
 * @returns Its hash as text.
 *
 * @example
 * formatServerHash('engine-1') === formatServerHash('engine-1') // => true
 */
export const formatServerHash = (backendServer: string): string => String(hashText(backendServer))
