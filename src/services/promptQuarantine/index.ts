/**
 * Keeps requests from backend servers that have a prompt part under which servers end (a
 * query of death). No node sees enough by itself: each tells the holders of a service which
 * servers ended under which parts of its requests. A holder asks the peers which of these
 * parts were in an answer in order since, and quarantines what then probably ended the
 * servers, on all nodes and in the platform's store: its requests are refused, except for
 * rare trials, one at a time in the whole fleet. The first sound answer ends the quarantine.
 */
import { createEndExaminer } from './_lib/createEndExaminer.js'
import { createEndRecord } from './_lib/createEndRecord.js'
import { createNoticeBatch } from './_lib/createNoticeBatch.js'
import { createQuarantineTable, describeQuarantine, type QuarantineEntry } from './_lib/createQuarantineTable.js'
import { createSoundParts } from './_lib/createSoundParts.js'
import { createStoredQuarantines } from './_lib/createStoredQuarantines.js'
import { formatPartKey } from './_lib/formatPartKey.js'
import { computeTrialDelay } from '../../decisions/computeTrialDelay/index.js'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import type { SuspiciousEnd } from '../../decisions/selectCulprits/index.js'
import { selectHolders } from '../../decisions/selectHolders/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { ServerEnd, ServerEnds } from '../serverEnds/index.js'
import type {
  Clock, Logger, Member, Membership, Metrics, PeerMessageOf, PeerReply, PeerTransport, PromptPartKey, QuarantineStore, RandomSource
} from '../../types/index.js'

/** What is known of the parts of one request. */
export type QuarantineVerdict =
  | { readonly kind: 'open' }
  /** The request may be sent if this node wins the trial. */
  | { readonly kind: 'trialDue', readonly part: string }
  | {
    readonly kind: 'refused'
    readonly part: string
    /** Milliseconds until the next trial may be sent. */
    readonly nextTrialMs: number
    readonly evidence: ReturnType<typeof describeQuarantine>
  }

export type PromptQuarantine = {
  readonly inspect: (service: string, parts: readonly string[]) => QuarantineVerdict
  /** Claims the next trial of all quarantined parts among these, for one request; resolves with whether it may be sent. */
  readonly claimTrial: (service: string, parts: readonly string[]) => Promise<boolean>
  /** The answer to a request with these shared parts is in order so far. */
  readonly recordSound: (service: string, parts: readonly string[]) => void
  /** The answer to a request with these shared parts is complete. */
  readonly recordComplete: (service: string, parts: readonly string[]) => void
  /** Numbers of quarantined parts, and of ends of servers that this node holds. */
  readonly count: () => { readonly quarantined: number, readonly ends: number }
}

export type PromptQuarantineDependencies = {
  readonly clock: Clock
  readonly random: Pick<RandomSource, 'next'>
  readonly logger: Pick<Logger, 'info' | 'warn'>
  readonly metrics: Pick<Metrics, 'count'>
  readonly transport: Pick<PeerTransport, 'send' | 'request' | 'handle'>
  readonly membership: Pick<Membership, 'members' | 'liveMembers' | 'self' | 'onChange'>
  readonly serverEnds: Pick<ServerEnds, 'onEnd'>
  readonly store: QuarantineStore
}

const MAXIMUM_QUARANTINED = 256
/** Time for which a node follows the store after it learnt of a server that ended, in milliseconds: as long as holders keep the end. */
const EVIDENCE_LIFETIME_MS = 60_000
/** A trial of several parts at once shows less than one of a single part, and waits this much longer for each further one, in milliseconds. */
const FURTHER_PART_DELAY_MS = 10_000
/** A sound answer this shortly before a quarantine was read from the store came after its evidence, in milliseconds. */
const RECENT_SOUND_MS = 500
/** Smallest delay that a caller is told, in milliseconds. */
const MINIMUM_TRIAL_WAIT_MS = 1_000

const OPEN: QuarantineVerdict = { kind: 'open' }
const NO_REPLY: PeerReply = { kind: 'none' }

/**
 * Creates the service.
 *
 * @param dependencies - Clock, random source, log, metrics, peers, ends of servers, and the store.
 * @returns The service for the kernel; it takes part in the exchange from its start to its stop.
 *
 * @example
 * const { api } = createPromptQuarantine(dependencies)
 * api.inspect('engines', ['5c1e07a2']) // => { kind: 'open' }
 */
export const createPromptQuarantine = (dependencies: PromptQuarantineDependencies): RunningService<PromptQuarantine> => {
  const { clock, random, logger, metrics, transport, membership, serverEnds, store } = dependencies
  const sound = createSoundParts(clock)
  const endRecord = createEndRecord(clock)
  const table = createQuarantineTable({ clock, logger, metrics })
  /** Monotonic milliseconds at which this node last learnt of a server that ended. */
  let evidenceAt = -Infinity
  /** Parts whose trial this node is claiming. */
  const claimed = new Set<string>()
  /** Incarnations of the nodes that have been told what is quarantined. */
  const told = new Map<string, number>()

  const isSelf = ({ nodeId }: Member): boolean => nodeId === membership.self().nodeId

  const listReachable = (): readonly Member[] => membership.members().filter(({ state }) => state !== 'dead')

  const listHolders = (service: string): readonly Member[] => selectHolders(service, listReachable())

  const isHolder = ({ service }: PromptPartKey): boolean => listHolders(service).some(isSelf)

  const listPeers = (): readonly Member[] => membership.liveMembers().filter((member) => !isSelf(member))

  const release = (entry: QuarantineEntry, reason: string): void => {
    table.release(entry, reason)
    notices.add(entry)
    stored.remove(entry)
  }

  const notices = createNoticeBatch({ clock, transport, table, listPeers, readNodeId: () => membership.self().nodeId })

  const stored = createStoredQuarantines({
    clock,
    logger,
    store,
    table,
    isWanted: () => table.size() > 0 || listPeers().length === 0 || clock.now() - evidenceAt < EVIDENCE_LIFETIME_MS,
    onStored: (part, { revision }) => {
      const isNew = table.find(part) === undefined
      const entry = table.adopt(part, { lastEndAt: isNew ? clock.now() : -Infinity, source: 'store', revision })
      if (isNew && clock.now() - sound.readAt(part) < RECENT_SOUND_MS) return release(entry, 'answered since')
      if (entry.servers.length > part.servers.length && isHolder(part)) stored.addServers(entry)
    },
    onRemoved: (entry) => {
      sound.record(entry, clock.now())
      table.release(entry, 'removed from the store')
    }
  })

  const quarantine = (key: PromptPartKey, ends: readonly SuspiciousEnd[]): void => {
    const [oldest] = table.list()
    if (table.size() >= MAXIMUM_QUARANTINED && oldest !== undefined) release(oldest, 'too many')
    const ofPart = ends.filter(({ parts }) => parts.has(key.part))
    const lastEndAt = Math.max(...ofPart.map(({ at }) => at))
    const entry = table.adopt({ ...key, servers: ofPart.map(({ server }) => server), endsAtFirst: ofPart.length, trials: 0 }, { lastEndAt, source: 'own' })
    notices.add(entry)
    stored.create(entry)
  }

  const examiner = createEndExaminer({
    clock,
    random,
    logger,
    transport,
    listPeers,
    sound,
    endRecord,
    table,
    onCulprit: (key, ends) => quarantine(key, ends),
    onExplained: (entry) => release(entry, 'explained by another part')
  })

  const recordEvidence = (): void => {
    evidenceAt = clock.now()
    stored.update()
  }

  /** Adds an end to what is known of a quarantined part. */
  const addEnd = (entry: QuarantineEntry, server: string, at: number, source: string): void => {
    if (entry.servers.includes(server)) return
    const grown = table.adopt({ ...entry, servers: [server] }, { lastEndAt: at, source })
    notices.add(grown)
    stored.addServers(grown)
  }

  /** Takes the end of a server of which this node is a holder; `at` in monotonic milliseconds. */
  const acceptEnd = (service: string, server: string, parts: readonly string[], at: number, source: string): void => {
    recordEvidence()
    endRecord.record(service, { server, at, parts })
    for (const part of parts) {
      const entry = table.find({ service, part })
      if (entry !== undefined) addEnd(entry, server, at, source)
    }
    examiner.examine(service)
  }

  /** Tells the holders of the service that a server ended. */
  const reportEnd = ({ instance, parts, requests, endedAt }: ServerEnd): void => {
    const { service } = instance
    sound.countRequests(service, { complete: 0, broken: requests })
    if (parts.length === 0) return
    recordEvidence()
    const server = formatInstanceKey(instance)
    for (const holder of listHolders(service)) {
      if (isSelf(holder)) acceptEnd(service, server, parts, endedAt, 'own')
      else transport.send(holder.address, { kind: 'partEnds', source: membership.self().nodeId, service, server, parts, ageMs: clock.now() - endedAt })
    }
  }

  const handleNotices = ({ source, parts }: PeerMessageOf<'quarantinedParts'>): PeerReply => {
    for (const { lastEndAgeMs, ...part } of parts) {
      const lastEndAt = clock.now() - lastEndAgeMs
      const known = table.find(part)
      // The sender doesn't know yet that an answer with the part was in order since.
      if (known === undefined && sound.readAt(part) > lastEndAt) release(table.adopt(part, { lastEndAt, source }), 'answered since')
      else table.adopt(part, { lastEndAt, source })
    }
    stored.update()
    return NO_REPLY
  }

  const handleReleases = ({ parts }: PeerMessageOf<'releasedParts'>): PeerReply => {
    for (const key of parts) {
      sound.record(key, clock.now())
      const entry = table.find(key)
      if (entry !== undefined) table.release(entry, 'released by a peer')
    }
    return NO_REPLY
  }

  /** Tells nodes that started, or are back, what is quarantined: the store may be out of reach for them. */
  const tellNewMembers = (): void => {
    stored.update()
    for (const member of membership.members()) {
      const { nodeId, incarnation, state } = member
      if (state !== 'live') told.delete(nodeId)
      if (state !== 'live' || told.get(nodeId) === incarnation) continue
      told.set(nodeId, incarnation)
      if (!isSelf(member) && table.size() > 0 && selectHolders(nodeId, listReachable()).some(isSelf)) notices.sendAllTo(member)
    }
  }

  const listQuarantined = (service: string, parts: readonly string[]): readonly QuarantineEntry[] =>
    table.size() === 0 ? [] : parts.map((part) => table.find({ service, part })).filter((entry) => entry !== undefined)

  const computeTrialWait = (entries: readonly QuarantineEntry[]): number => {
    const due = entries.map((entry) => Math.max(entry.triedAt, entry.lastEndAt) + computeTrialDelay(entry) - clock.now())
    return Math.max(...due) + (entries.length - 1) * FURTHER_PART_DELAY_MS
  }

  const isClaimable = (entry: QuarantineEntry): boolean => entry.revision !== undefined && !claimed.has(formatPartKey(entry))

  const claimAll = async (entries: readonly QuarantineEntry[]): Promise<boolean> => {
    for (const entry of entries) if (!await stored.claimTrial(entry)) return false
    return true
  }

  const recordSound: PromptQuarantine['recordSound'] = (service, parts) => {
    for (const part of parts) {
      const key = { service, part }
      sound.record(key, clock.now())
      const entry = table.find(key)
      if (entry !== undefined) release(entry, 'answered')
    }
  }

  serverEnds.onEnd(reportEnd)
  membership.onChange(tellNewMembers)

  return {
    api: {
      inspect: (service, parts) => {
        const entries = listQuarantined(service, parts)
        const [first] = entries
        if (first === undefined) return OPEN
        const waitMs = computeTrialWait(entries)
        if (waitMs <= 0 && entries.every(isClaimable)) return { kind: 'trialDue', part: first.part }
        return { kind: 'refused', part: first.part, nextTrialMs: Math.max(MINIMUM_TRIAL_WAIT_MS, waitMs), evidence: describeQuarantine(first) }
      },
      claimTrial: async (service, parts) => {
        const entries = listQuarantined(service, parts)
        if (entries.length === 0) return true
        if (!entries.every(isClaimable)) return false
        const keys = entries.map(formatPartKey)
        for (const key of keys) claimed.add(key)
        const isGranted = await claimAll(entries)
        for (const key of keys) claimed.delete(key)
        if (!isGranted) return false
        metrics.count('gateway_quarantine', { event: 'trial' })
        for (const entry of listQuarantined(service, parts)) notices.add(entry)
        return true
      },
      recordSound,
      recordComplete: (service, parts) => {
        sound.countRequests(service, { complete: 1, broken: 0 })
        recordSound(service, parts)
      },
      count: () => ({ quarantined: table.size(), ends: endRecord.size() })
    },
    start: () => {
      transport.handle('partEnds', ({ source, service, server, parts, ageMs }) => {
        acceptEnd(service, server, parts, clock.now() - ageMs, source)
        return NO_REPLY
      })
      transport.handle('soundPartsRequest', ({ service, parts }) => ({ kind: 'soundParts', soundAgesMs: parts.map((part) => clock.now() - sound.readAt({ service, part })), counts: sound.readCounts(service) }))
      transport.handle('quarantinedParts', handleNotices)
      transport.handle('releasedParts', handleReleases)
      stored.start()
    },
    stop: () => {
      stored.stop()
      notices.stop()
    }
  }
}
