/**
 * Packs load digests for the wire, with hashes in place of the names of backend servers.
 */
import { hashText } from '../../hashing/index.js'
import { packLoadCounts, unpackLoadCounts } from '../packLoadCounts/index.js'
import type { LoadDigest, PackedLoadDigest } from '../../types/index.js'

/**
 * Packs a digest of one router.
 *
 * @param digest - The digest, with names of backend servers.
 * @returns The message to send.
 *
 * @example
 * packLoadDigest(digest).servers // => Uint32Array with the hash of each name
 */
export const packLoadDigest = ({ source, sequence, full, counts }: LoadDigest): PackedLoadDigest => {
  const byHash = new Map(counts.map(({ backendServer, inFlight }) => [hashText(backendServer), inFlight]))
  return { kind: 'loadDigest', source, sequence, full, ...packLoadCounts(byHash) }
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
 * Formats the hash that replaces a backend server's name in an unpacked digest.
 *
 * @param backendServer - Name of the backend server.
 * @returns Its hash as text.
 *
 * @example
 * formatServerHash('engine-1') === formatServerHash('engine-1') // => true
 */
export const formatServerHash = (backendServer: string): string => String(hashText(backendServer))
