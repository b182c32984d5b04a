/**
 * Fetches one chunk: first from peers in the same zone, since traffic within a
 * zone is free, then from peers in other zones, then from the platform.
 */
import { failure, success } from '../../../kernel/index.js'
import type { Member, PeerTransport, Platform, RandomSource, Result } from '../../../types/index.js'
import { selectPeers } from './selectPeers.js'

/** Fetches the bytes of a chunk of a generation and verifies their hash. */
export type ChunkFetcher = (hash: string, generation: number) => Promise<Result<Uint8Array, string>>

export type ChunkFetcherDependencies = {
  readonly platform: Platform
  readonly peerTransport: PeerTransport
  readonly peers: () => readonly Member[]
  readonly random: RandomSource
  readonly hashContent: (content: string | Uint8Array) => string
}

export type ChunkFetcherOptions = { readonly nodeId: string, readonly availabilityZone: string, readonly peerTimeoutMs: number }

export const createChunkFetcher = (dependencies: ChunkFetcherDependencies, options: ChunkFetcherOptions): ChunkFetcher => {
  const { platform, peerTransport, hashContent } = dependencies

  /** Bytes that were damaged in transit or at the source have another hash; the next source is tried. */
  const verify = (hash: string, source: string, bytes: Uint8Array | undefined): Result<Uint8Array, string> => {
    if (bytes === undefined) return failure(`${source} does not have it`)
    if (hashContent(bytes) !== hash) return failure(`${source} sent bytes of another hash`)
    return success(bytes)
  }

  const fetchFromPeer = async (hash: string, peer: Member): Promise<Result<Uint8Array, string>> => {
    const reply = await peerTransport.request(peer.address, { kind: 'chunkRequest', hash }, options.peerTimeoutMs)
    if (!reply.ok) return failure(`${peer.nodeId}: ${reply.error.kind}`)
    return verify(hash, peer.nodeId, reply.value.kind === 'chunk' ? reply.value.bytes : undefined)
  }

  const fetchFromPlatform = async (hash: string): Promise<Result<Uint8Array, string>> => {
    const object = await platform.readObject(`configuration/chunks/${hash}`)
    if (!object.ok) return failure(`platform: ${object.error.kind}`)
    return verify(hash, 'platform', object.value?.bytes)
  }

  return async (hash, generation) => {
    const problems: string[] = []
    for (const peer of selectPeers(dependencies.peers(), generation, options, dependencies.random)) {
      const bytes = await fetchFromPeer(hash, peer)
      if (bytes.ok) return bytes
      problems.push(bytes.error)
    }
    const bytes = await fetchFromPlatform(hash)
    if (bytes.ok) return bytes
    return failure(`chunk ${hash.slice(0, 12)} could not be fetched: ${[...problems, bytes.error].join(', ')}`)
  }
}
