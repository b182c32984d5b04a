/**
 * Claims idempotency keys, so that a non-idempotent request is sent at most once.
 * Before the request is sent, its key is claimed in a log that the platform stores;
 * folding the log yields one claimant for the key, and only that one sends.
 *
 * A claim never expires by a time-out: a claimant that was paused and resumes is still
 * the only sender. The cost is that a claimant that dies after its claim leaves the key
 * with an unknown outcome until the retention ends.
 */
import type { ClaimRecord } from '../../decisions/foldClaims/index.js'
import type { ClaimKey, ClaimOutcome, Claims, Clock, Logger, Membership, Metrics, PeerTransport, Platform, RandomSource, StoredAnswer } from '../../types/index.js'
import type { RunningService } from '../../kernel/index.js'
import { createNotKeptAnswer } from './_lib/createNotKeptAnswer.js'
import { createBackgroundEntries } from './_lib/createBackgroundEntries.js'
import { createEntryRouter } from './_lib/createEntryRouter.js'
import { createOpenClaims } from './_lib/createOpenClaims.js'
import type { EndedClaim, OpenClaim, OpenClaimEnd } from './_lib/createOpenClaims.js'
import { createOutcomeExchange } from './_lib/createOutcomeExchange.js'
import { formatKeyId } from './_lib/formatKeyId.js'

export type ClaimsOptions = {
  /** Number of shards that the first node of the fleet stores in the platform; later nodes read it from there. */
  readonly shards: number
  /** Minimum milliseconds between two writes of one node to one shard. */
  readonly flushIntervalMs: number
  /** Milliseconds after which a claim is forgotten; the at-most-once guarantee ends with it. */
  readonly retentionMs: number
  readonly peerTimeoutMs: number
  /** Answers with a larger body are not stored for duplicate requests. */
  readonly maximumAnswerBytes: number
  /** Milliseconds between two attempts while the platform is down. */
  readonly outagePauseMs: number
  /** Batches of a shard after which it is folded into its snapshot. */
  readonly pruneEvery: number
  /** Batches kept below the end of a snapshot, for nodes that lag a little; 16 by default. */
  readonly keptBatches?: number
}

export type ClaimsDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly platform: Platform
  readonly transport: PeerTransport
  readonly membership: Membership
  readonly logger: Logger
  readonly metrics?: Metrics
  readonly options: ClaimsOptions
}

/**
 * Creates the claims service of one node.
 *
 * @param dependencies - Clock, platform, peers and options of the service.
 * @returns The service; `stop` writes the waiting entries, as far as the platform is reachable.
 *
 * @example
 * const { api } = createClaims(dependencies)
 * const outcome = await api.claim({ clientAccount: 'deli', idempotencyKey: 'order-1' }, bodyHash)
 * if (outcome.kind === 'granted') await send()
 */
export const createClaims = (dependencies: ClaimsDependencies): RunningService<Claims> => {
  const { clock, random, membership, metrics, options } = dependencies
  const router = createEntryRouter(dependencies)
  const background = createBackgroundEntries(dependencies, router)
  const openClaims = createOpenClaims()
  const exchange = createOutcomeExchange(dependencies, background)

  const evaluateRecord = async (key: ClaimKey, record: ClaimRecord, bodyHash: string): Promise<ClaimOutcome> => {
    if (record.bodyHash !== bodyHash) return { kind: 'keyReused' }
    if (record.state === 'complete') return { kind: 'answered', answer: record.answer ?? createNotKeptAnswer() }
    const answer = await exchange.requestFromHolder(key, record)
    if (answer !== undefined) return { kind: 'answered', answer }
    return { kind: 'claimedElsewhere', holder: record.holder }
  }

  const claimInLog = async (key: ClaimKey, keyId: string, bodyHash: string): Promise<ClaimOutcome> => {
    const claimId = random.nextId()
    const holder = membership.self().nodeId
    openClaims.open(keyId, claimId, bodyHash)
    const result = await router.submit({ kind: 'claim', keyId, claimId, bodyHash, holder }, true)
    if (result.ok && result.value.record?.claimId === claimId) return { kind: 'granted', claimId }
    // No request is sent under this claim id any more, so releasing it is correct
    // whether the claim is in the log, arrives there later, or never does.
    if (!result.ok && result.error.kind === 'outcomeUnknown') background.add({ kind: 'release', keyId, claimId })
    openClaims.end(keyId, claimId, { kind: 'released' })
    if (!result.ok) return { kind: 'unavailable', message: result.error.message }
    if (result.value.record === undefined) return { kind: 'unavailable', message: 'the claim is missing in the log after the write' }
    return await evaluateRecord(key, result.value.record, bodyHash)
  }

  const waitForEnd = (open: OpenClaim, waitUntil: number): Promise<OpenClaimEnd | undefined> =>
    new Promise((resolve) => {
      const timer = clock.setTimer(Math.max(0, waitUntil - clock.now()), () => { resolve(undefined) })
      open.whenEnded.then((end) => {
        timer.cancel()
        resolve(end)
      })
    })

  const evaluateEnded = (ended: EndedClaim, bodyHash: string): ClaimOutcome => {
    if (ended.bodyHash !== bodyHash) return { kind: 'keyReused' }
    if (ended.end.kind === 'completed') return { kind: 'answered', answer: ended.end.answer }
    return { kind: 'claimedElsewhere', holder: membership.self().nodeId }
  }

  const waitForOpenClaim = async (open: OpenClaim, bodyHash: string, waitUntil: number | undefined): Promise<ClaimOutcome | 'released'> => {
    if (open.bodyHash !== bodyHash) return { kind: 'keyReused' }
    const end = waitUntil === undefined ? undefined : await waitForEnd(open, waitUntil)
    if (end?.kind === 'completed') return { kind: 'answered', answer: end.answer }
    if (end?.kind === 'released') return 'released'
    return { kind: 'claimedElsewhere', holder: membership.self().nodeId }
  }

  const decideClaim = async (key: ClaimKey, bodyHash: string, waitUntil: number | undefined): Promise<ClaimOutcome> => {
    const keyId = formatKeyId(key)
    for (;;) {
      const ended = openClaims.findEnded(keyId)
      if (ended !== undefined) return evaluateEnded(ended, bodyHash)
      const open = openClaims.find(keyId)
      if (open === undefined) return await claimInLog(key, keyId, bodyHash)
      const joined = await waitForOpenClaim(open, bodyHash, waitUntil)
      if (joined !== 'released') return joined
    }
  }

  const claim = async (key: ClaimKey, bodyHash: string, waitUntil?: number): Promise<ClaimOutcome> => {
    const outcome = await decideClaim(key, bodyHash, waitUntil)
    metrics?.count('claims', { outcome: outcome.kind })
    return outcome
  }

  const release = async (key: ClaimKey, claimId: string): Promise<void> => {
    const keyId = formatKeyId(key)
    const written = background.add({ kind: 'release', keyId, claimId })
    openClaims.end(keyId, claimId, { kind: 'released' })
    await written
  }

  const complete = async (key: ClaimKey, claimId: string, answer: StoredAnswer): Promise<void> => {
    const keyId = formatKeyId(key)
    const isStored = answer.body.byteLength <= options.maximumAnswerBytes
    const written = background.add({ kind: 'completion', keyId, claimId, answer: isStored ? answer : undefined })
    openClaims.end(keyId, claimId, { kind: 'completed', answer })
    await written
  }

  const recordUnknown = (key: ClaimKey, claimId: string): void => {
    openClaims.end(formatKeyId(key), claimId, { kind: 'unknown' })
  }

  return {
    api: { claim, release, complete, recordUnknown },
    stop: () => background.stop()
  }
}
