/**
 * A load digest as it goes over the wire: hashes in place of names, in typed
 * arrays. Names would make up most of the bytes.
 */
import { hashText } from '../../hashing/index.js'
import type { LoadDigest, PackedLoadDigest } from '../../types/index.js'

const MAXIMUM_COUNT = 0xffff
const MAXIMUM_SMALL_COUNT = 0xff

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
  const values = counts.map(({ inFlight }) => Math.min(MAXIMUM_COUNT, inFlight))
  const isSmall = values.every((value) => value <= MAXIMUM_SMALL_COUNT)
  return {
    kind: 'loadDigest',
    source,
    sequence,
    full,
    servers: Uint32Array.from(counts, ({ backendServer }) => hashText(backendServer)),
    inFlight: isSmall ? Uint8Array.from(values) : Uint16Array.from(values)
  }
}

/**
 * Unpacks a digest. Two servers with the same hash would be counted as one;
 * among 600 that happens in one fleet of some 24,000.
 *
 * @param packed - The message that came.
 * @returns The digest, with the hash as text in place of each name, as `formatServerHash` gives it.
 *
 * @example
 * unpackLoadDigest(packLoadDigest(digest)).counts[0]?.backendServer // => formatServerHash('engine-1')
 */
export const unpackLoadDigest = ({ source, sequence, full, servers, inFlight }: PackedLoadDigest): LoadDigest => ({
  source,
  sequence,
  full,
  counts: Array.from(servers, (hash, place) => ({ backendServer: String(hash), inFlight: inFlight[place] ?? 0 }))
})

/**
 * Gives what stands for a backend server's name in an unpacked digest.
 *
 * @param backendServer - Name of the backend server.
 * @returns Its hash as text.
 *
 * @example
 * formatServerHash('engine-1') === formatServerHash('engine-1') // => true
 */
export const formatServerHash = (backendServer: string): string => String(hashText(backendServer))
