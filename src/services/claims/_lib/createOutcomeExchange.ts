/**
 * Requests the answer of an open claim from its holder, and serves such requests of peers.
 * The log may lag behind the holder, whose completion is written in a later batch.
 */
import type { ClaimRecord } from '../../../decisions/foldClaims/index.js'
import type { ClaimKey, PeerReply, StoredAnswer } from '../../../types/index.js'
import type { ClaimsDependencies } from '../index.js'
import type { BackgroundEntries } from './createBackgroundEntries.js'
import { entryCodec } from './codecs.js'
import { formatKeyId } from './formatKeyId.js'

export type OutcomeExchange = {
  /** Returns the answer when the holder responds and has completed the request, `undefined` otherwise. */
  readonly requestFromHolder: (key: ClaimKey, record: ClaimRecord) => Promise<StoredAnswer | undefined>
}

export const createOutcomeExchange = (dependencies: ClaimsDependencies, background: BackgroundEntries): OutcomeExchange => {
  const { membership, transport, options } = dependencies

  const answerPeer = (key: ClaimKey): PeerReply => {
    const entry = background.find(formatKeyId(key))
    if (entry?.kind !== 'completion') return { kind: 'claimOutcome' }
    return { kind: 'claimOutcome', outcome: entryCodec.encode(entry) }
  }

  transport.handle('claimOutcome', (message) => answerPeer(message.key))

  const requestFromHolder = async (key: ClaimKey, record: ClaimRecord): Promise<StoredAnswer | undefined> => {
    if (record.holder === membership.self().nodeId) return undefined
    const holder = membership.members().find((member) => member.nodeId === record.holder && member.state !== 'dead')
    if (holder === undefined) return undefined
    const reply = await transport.request(holder.address, { kind: 'claimOutcome', key }, options.peerTimeoutMs)
    if (!reply.ok || reply.value.kind !== 'claimOutcome' || reply.value.outcome === undefined) return undefined
    const entry = entryCodec.decode(reply.value.outcome)
    if (entry?.kind !== 'completion' || entry.claimId !== record.claimId) return undefined
    return entry.answer
  }

  return { requestFromHolder }
}
