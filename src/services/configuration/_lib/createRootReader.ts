/** Reads roots from peers and the platform; failures are described as text. */
import { decodeRoot } from '../../../decisions/decodeRoot/index.js'
import { failure, success } from '../../../kernel/index.js'
import type { Member, PeerTransport, Platform, Result } from '../../../types/index.js'
import type { FetchedRoot } from './createConfigurationInstaller.js'

export const ROOT_NAME = 'configuration/root'

export type RootReader = {
  /** `undefined` when the source has no root. */
  readonly readFromPeer: (peer: Member) => Promise<Result<FetchedRoot | undefined, string>>
  readonly readFromPlatform: () => Promise<Result<FetchedRoot | undefined, string>>
}

export const createRootReader = (platform: Platform, peerTransport: PeerTransport, peerTimeoutMs: number): RootReader => {
  const decode = (source: string, bytes: Uint8Array | undefined): Result<FetchedRoot | undefined, string> => {
    if (bytes === undefined) return success(undefined)
    const root = decodeRoot(bytes)
    return root.ok ? success({ root: root.value, bytes }) : failure(`root from ${source}: ${root.error.message}`)
  }

  return {
    readFromPeer: async (peer) => {
      const reply = await peerTransport.request(peer.address, { kind: 'rootRequest' }, peerTimeoutMs)
      if (!reply.ok) return failure(`${peer.nodeId}: ${reply.error.kind}`)
      return decode(peer.nodeId, reply.value.kind === 'root' ? reply.value.root : undefined)
    },
    readFromPlatform: async () => {
      const object = await platform.readObject(ROOT_NAME)
      if (!object.ok) return failure(`platform: ${object.error.kind}`)
      return decode('the platform', object.value?.bytes)
    }
  }
}
