/**
 * Routes entries to the log: to the preferred writer of the shard over the peer transport,
 * or to this node's own queue when that fails. The entry may then be written twice; the
 * fold ignores the second copy.
 */
import { LRUCache } from 'lru-cache'
import { failure, success } from '../../../kernel/index.js'
import { selectClaimShard } from '../../../decisions/selectClaimShard/index.js'
import { selectShardWriter } from '../../../decisions/selectShardWriter/index.js'
import type { ClaimEntry } from '../../../decisions/foldClaims/index.js'
import type { Member, PeerReply, Result } from '../../../types/index.js'
import type { ClaimsDependencies } from '../index.js'
import { entryCodec, layoutCodec, recordCodec } from './codecs.js'
import { createPlatformGate } from './createPlatformGate.js'
import { createShardLog } from './createShardLog.js'
import type { ShardLogError } from './createShardLog.js'
import { createShardQueue } from './createShardQueue.js'
import type { EntryResult, ShardQueue } from './createShardQueue.js'
import { layoutName } from './objectNames.js'

/** Shards whose records a node keeps in memory; an evicted one is read again when it is needed. */
const MAXIMUM_SHARDS_IN_MEMORY = 256

const DEFAULT_KEPT_BATCHES = 16

const NO_BYTES = new Uint8Array(0)

export type EntryRouter = {
  /** Writes one entry to the log of its shard. `urgent` entries are refused at once while the platform is known to be down. */
  readonly submit: (entry: ClaimEntry, urgent: boolean) => Promise<Result<EntryResult, ShardLogError>>
  readonly isIdle: () => boolean
}

export const createEntryRouter = (dependencies: ClaimsDependencies): EntryRouter => {
  const { clock, random, platform, transport, membership, logger, options } = dependencies
  const gate = createPlatformGate(clock, options.outagePauseMs)
  const queues = new LRUCache<number, ShardQueue>({ max: MAXIMUM_SHARDS_IN_MEMORY })
  let shardCount: number | undefined

  const selectWriter = (shard: number): Member | undefined => {
    const live = membership.liveMembers()
    const nodeId = selectShardWriter(live.map((member) => member.nodeId), shard)
    return live.find((member) => member.nodeId === nodeId)
  }

  const isOwnShard = (shard: number): boolean => {
    const writer = selectWriter(shard)
    return writer === undefined || writer.nodeId === membership.self().nodeId
  }

  const getQueue = (shard: number): ShardQueue => {
    const known = queues.get(shard)
    if (known !== undefined) return known
    const log = createShardLog({ clock, random, platform, logger }, shard, { retentionMs: options.retentionMs })
    const { flushIntervalMs, pruneEvery, keptBatches = DEFAULT_KEPT_BATCHES } = options
    const queue = createShardQueue({ clock, random, platform, gate, log }, { shard, flushIntervalMs, pruneEvery, keptBatches, isPruner: () => isOwnShard(shard) })
    queues.set(shard, queue)
    return queue
  }

  /** The first node of the fleet stores the number of shards: a node that used another number would look for claims in other logs. */
  const readShardCount = async (): Promise<number | undefined> => {
    if (shardCount !== undefined) return shardCount
    await platform.createObject(layoutName, layoutCodec.encode({ shards: options.shards }))
    const read = await platform.readObject(layoutName)
    gate.record(read.ok)
    if (!read.ok || read.value === undefined) return undefined
    shardCount = layoutCodec.decode(read.value.bytes)?.shards
    return shardCount
  }

  const requestAppend = async (writer: Member, shard: number, entry: ClaimEntry): Promise<Result<EntryResult, ShardLogError>> => {
    const message = { kind: 'claimAppend', shard, entries: [entryCodec.encode(entry)] } as const
    const reply = await transport.request(writer.address, message, options.peerTimeoutMs)
    if (reply.ok && reply.value.kind === 'claimAppended') {
      const bytes = reply.value.records?.[0]
      return success({ record: bytes === undefined || bytes.byteLength === 0 ? undefined : recordCodec.decode(bytes) })
    }
    return failure({ kind: 'outcomeUnknown', message: `writer ${writer.nodeId} of claim shard ${shard} did not append` })
  }

  const submitHere = async (shard: number, entry: ClaimEntry, urgent: boolean): Promise<Result<EntryResult, ShardLogError>> => {
    if (urgent && !gate.tryEnter()) return failure({ kind: 'notWritten', message: 'the platform is down' })
    return await getQueue(shard).submit(entry)
  }

  const submit = async (entry: ClaimEntry, urgent: boolean): Promise<Result<EntryResult, ShardLogError>> => {
    if (shardCount === undefined && urgent && !gate.tryEnter()) return failure({ kind: 'notWritten', message: 'the platform is down' })
    const shards = await readShardCount()
    if (shards === undefined) return failure({ kind: 'notWritten', message: 'the layout of the claim log cannot be read' })
    const shard = selectClaimShard(entry.keyId, shards)
    const writer = selectWriter(shard)
    if (writer === undefined || writer.nodeId === membership.self().nodeId) return await submitHere(shard, entry, urgent)
    const appended = await requestAppend(writer, shard, entry)
    if (appended.ok) return appended
    const result = await submitHere(shard, entry, urgent)
    // The writer may still append the entry although its reply did not arrive.
    return result.ok ? result : failure({ kind: 'outcomeUnknown', message: result.error.message })
  }

  const appendForPeer = async (shard: number, encoded: readonly Uint8Array[]): Promise<PeerReply> => {
    const entries = encoded.map((bytes) => entryCodec.decode(bytes))
    if (entries.includes(undefined)) return { kind: 'claimRefused', message: 'an entry is damaged' }
    const shards = await readShardCount()
    if (shards === undefined) return { kind: 'claimRefused', message: 'the platform is down' }
    const decoded = entries as readonly ClaimEntry[]
    if (decoded.some((entry) => selectClaimShard(entry.keyId, shards) !== shard)) return { kind: 'claimRefused', message: 'an entry is of another shard' }
    const results = await Promise.all(decoded.map((entry) => submitHere(shard, entry, entry.kind === 'claim')))
    const refused = results.find((result) => !result.ok)
    if (refused !== undefined && !refused.ok) return { kind: 'claimRefused', message: refused.error.message }
    const records = results.map((result) => result.ok ? result.value.record : undefined)
    return {
      kind: 'claimAppended',
      accepted: records.map((record, index) => record?.claimId === decoded[index]?.claimId),
      records: records.map((record) => record === undefined ? NO_BYTES : recordCodec.encode(record))
    }
  }

  transport.handle('claimAppend', (message) => appendForPeer(message.shard, message.entries))

  return { submit, isIdle: () => [...queues.values()].every((queue) => queue.isIdle()) }
}
