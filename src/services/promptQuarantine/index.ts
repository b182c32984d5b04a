/**
 * Keeps requests from backend servers that have a prompt part under which servers end (a
 * query of death). No node sees enough by itself: each tells the holders of a part which
 * servers ended under its own requests, and a holder that knows of several independent ends
 * asks the peers whether an answer with the part was in order since. If none was, the part is
 * quarantined on all nodes and in the platform's store: its requests are refused, except
 * for rare trials, one at a time in the whole fleet. The first sound answer ends it.
 */
import { askForSoundParts } from './_lib/askForSoundParts.js'
import { createPartEvidence, formatPartKey } from './_lib/createPartEvidence.js'
import { createQuarantineTable, describeQuarantine, type QuarantineEntry } from './_lib/createQuarantineTable.js'
import { createStoredQuarantines } from './_lib/createStoredQuarantines.js'
import { computeTrialDelay, QUARANTINE_ENDS } from '../../decisions/computeTrialDelay/index.js'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import { selectHolders } from '../../decisions/selectHolders/index.js'
import { groupBy } from '../../kernel/groupBy/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { ServerEnd, ServerEnds } from '../serverEnds/index.js'
import type {
  Clock, Logger, Member, Membership, Metrics, PeerMessageOf, PeerTransport, PromptPartKey, QuarantineNotice, QuarantineStore, RandomSource
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
  /** An answer to a request with these shared parts is in order. */
  readonly recordSound: (service: string, parts: readonly string[]) => void
  /** Numbers of parts by state. */
  readonly countParts: () => Readonly<Record<'suspect' | 'quarantined', number>>
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

/** Peers that a holder asks: in a large fleet a part that is in use was answered by some of them. */
const ASKED_PEERS = 32
const MAXIMUM_QUARANTINED = 256
/** A trial of several parts at once shows less than one of a single part, and waits this much longer for each further one, in milliseconds. */
const FURTHER_PART_DELAY_MS = 10_000
/** A sound answer this shortly before a quarantine was read from the store came after its evidence, in milliseconds. */
const RECENT_SOUND_MS = 500
/** Smallest delay that a caller is told, in milliseconds. */
const MINIMUM_TRIAL_WAIT_MS = 1_000

const OPEN: QuarantineVerdict = { kind: 'open' }

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
  const evidence = createPartEvidence(clock)
  const table = createQuarantineTable({ clock, logger, metrics })
  /** Parts about which this node is asking its peers. */
  const asked = new Set<string>()
  /** Parts whose trial this node is claiming. */
  const claimed = new Set<string>()
  /** Incarnations of the nodes that have been told what is quarantined. */
  const told = new Map<string, number>()

  const isSelf = ({ nodeId }: Member): boolean => nodeId === membership.self().nodeId

  const listReachable = (): readonly Member[] => membership.members().filter(({ state }) => state !== 'dead')

  const listHolders = (key: PromptPartKey): readonly Member[] => selectHolders(formatPartKey(key), listReachable())

  const isHolder = (key: PromptPartKey): boolean => listHolders(key).some(isSelf)

  const listPeers = (): readonly Member[] => membership.liveMembers().filter((member) => !isSelf(member))

  const toNotice = ({ service, part, servers, trials, lastEndAt }: QuarantineEntry): QuarantineNotice =>
    ({ service, part, servers, trials, lastEndAgeMs: clock.now() - lastEndAt })

  const sendNotices = (receivers: readonly Member[], entries: readonly QuarantineEntry[]): void => {
    if (entries.length === 0) return
    const message = { kind: 'quarantinedParts', source: membership.self().nodeId, parts: entries.map(toNotice) } as const
    for (const { address } of receivers) transport.send(address, message)
  }

  const release = (entry: QuarantineEntry, reason: string): void => {
    table.release(entry, reason)
    const message = { kind: 'releasedParts', parts: [{ service: entry.service, part: entry.part }] } as const
    for (const { address } of listPeers()) transport.send(address, message)
    stored.remove(entry)
  }

  const stored = createStoredQuarantines({
    clock,
    logger,
    store,
    table,
    onStored: (part, { revision }) => {
      const isNew = table.find(part) === undefined
      const entry = table.adopt(part, { lastEndAt: isNew ? clock.now() : -Infinity, source: 'store', revision })
      if (isNew && clock.now() - evidence.readSoundAt(part) < RECENT_SOUND_MS) return release(entry, 'answered since')
      if (entry.servers.length > part.servers.length && isHolder(part)) stored.addServers(entry)
    },
    onRemoved: (entry) => {
      evidence.recordSound(entry, clock.now())
      table.release(entry, 'removed from the store')
    }
  })

  const quarantine = (key: PromptPartKey): void => {
    const [oldest] = table.list()
    if (table.size() >= MAXIMUM_QUARANTINED && oldest !== undefined) release(oldest, 'too many')
    const entry = table.adopt({ ...key, servers: evidence.listServers(key), trials: 0 }, { lastEndAt: evidence.readLastEndAt(key), source: 'own' })
    sendNotices(listPeers(), [entry])
    stored.create(entry)
  }

  const isSuspect = (key: PromptPartKey): boolean => table.find(key) === undefined && evidence.countEnds(key) >= QUARANTINE_ENDS

  const selectAskedPeers = (): readonly Member[] =>
    listPeers().map((peer) => ({ peer, order: random.next() })).sort((left, right) => left.order - right.order).slice(0, ASKED_PEERS).map(({ peer }) => peer)

  /** Asks the peers about suspect parts, and quarantines those of which none has a sound answer. */
  const examine = async (service: string, parts: readonly string[]): Promise<void> => {
    const keys = parts.map((part) => ({ service, part }))
    for (const key of keys) asked.add(formatPartKey(key))
    const peers = selectAskedPeers()
    logger.info('prompt parts suspected', { service, parts: parts.join(' '), endedServers: evidence.listServers(keys[0]!).join(' '), askedPeers: peers.length })
    const soundTimes = await askForSoundParts(transport, clock, peers, { service, parts })
    for (const [index, key] of keys.entries()) {
      asked.delete(formatPartKey(key))
      evidence.recordSound(key, soundTimes[index] ?? -Infinity)
      if (isSuspect(key)) quarantine(key)
    }
  }

  /** Adds an end to what is known of a quarantined part. */
  const addEnd = (entry: QuarantineEntry, server: string, at: number, source: string): void => {
    if (entry.servers.includes(server)) return
    const grown = table.adopt({ ...entry, servers: [server] }, { lastEndAt: at, source })
    sendNotices(listPeers(), [grown])
    stored.addServers(grown)
  }

  /** Takes the end of a server under parts of which this node is a holder; `at` in monotonic milliseconds. */
  const acceptEnd = (service: string, server: string, parts: readonly string[], at: number, source: string): void => {
    for (const part of parts) {
      evidence.recordEnd({ service, part }, server, at)
      const entry = table.find({ service, part })
      if (entry !== undefined) addEnd(entry, server, at, source)
    }
    const suspects = parts.filter((part) => isSuspect({ service, part }) && !asked.has(formatPartKey({ service, part })))
    if (suspects.length > 0) examine(service, suspects)
  }

  /** Tells the holders of each part that a server ended under it. */
  const reportEnd = ({ instance, parts, endedAt }: ServerEnd): void => {
    const { service } = instance
    const server = formatInstanceKey(instance)
    const shares = parts.flatMap((part) => listHolders({ service, part }).map((holder) => ({ part, holder })))
    for (const [, ofHolder] of groupBy(shares, ({ holder }) => holder.nodeId)) {
      const { holder } = ofHolder[0]!
      const partsOfHolder = ofHolder.map(({ part }) => part)
      if (isSelf(holder)) acceptEnd(service, server, partsOfHolder, endedAt, 'own')
      else transport.send(holder.address, { kind: 'partEnds', source: membership.self().nodeId, service, server, parts: partsOfHolder, ageMs: clock.now() - endedAt })
    }
  }

  const handleNotices = ({ source, parts }: PeerMessageOf<'quarantinedParts'>): void => {
    for (const { lastEndAgeMs, ...part } of parts) {
      const lastEndAt = clock.now() - lastEndAgeMs
      const known = table.find(part)
      // The sender doesn't know yet that an answer with the part was in order since.
      if (known === undefined && evidence.readSoundAt(part) > lastEndAt) release(table.adopt(part, { lastEndAt, source }), 'answered since')
      else table.adopt(part, { lastEndAt, source })
    }
  }

  const handleReleases = (keys: readonly PromptPartKey[]): void => {
    for (const key of keys) {
      evidence.recordSound(key, clock.now())
      const entry = table.find(key)
      if (entry !== undefined) table.release(entry, 'released by a peer')
    }
  }

  /** Tells nodes that started, or are back, what is quarantined: the store may be out of reach for them. */
  const tellNewMembers = (): void => {
    const entries = table.list()
    for (const member of membership.members()) {
      const { nodeId, incarnation, state } = member
      if (state !== 'live') told.delete(nodeId)
      if (state !== 'live' || told.get(nodeId) === incarnation) continue
      told.set(nodeId, incarnation)
      if (!isSelf(member) && entries.length > 0 && selectHolders(nodeId, listReachable()).some(isSelf)) sendNotices([member], entries)
    }
  }

  const listQuarantined = (service: string, parts: readonly string[]): readonly QuarantineEntry[] =>
    table.size() === 0 ? [] : parts.map((part) => table.find({ service, part })).filter((entry) => entry !== undefined)

  const computeTrialWait = (entries: readonly QuarantineEntry[]): number => {
    const due = entries.map(({ servers, trials, changedAt }) => changedAt + computeTrialDelay({ ends: servers.length, trials }) - clock.now())
    return Math.max(...due) + (entries.length - 1) * FURTHER_PART_DELAY_MS
  }

  const isClaimable = (entry: QuarantineEntry): boolean => entry.revision !== undefined && !claimed.has(formatPartKey(entry))

  const claimAll = async (entries: readonly QuarantineEntry[]): Promise<boolean> => {
    for (const entry of entries) if (!await stored.claimTrial(entry)) return false
    return true
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
        sendNotices(listPeers(), listQuarantined(service, parts))
        return true
      },
      recordSound: (service, parts) => {
        for (const part of parts) {
          const key = { service, part }
          evidence.recordSound(key, clock.now())
          const entry = table.find(key)
          if (entry !== undefined) release(entry, 'answered')
        }
      },
      countParts: () => ({ suspect: evidence.size(), quarantined: table.size() })
    },
    start: () => {
      transport.handle('partEnds', ({ source, service, server, parts, ageMs }) => {
        acceptEnd(service, server, parts, clock.now() - ageMs, source)
        return { kind: 'none' }
      })
      transport.handle('soundPartsRequest', ({ service, parts }) => ({ kind: 'soundParts', soundAgesMs: parts.map((part) => clock.now() - evidence.readSoundAt({ service, part })) }))
      transport.handle('quarantinedParts', (message) => {
        handleNotices(message)
        return { kind: 'none' }
      })
      transport.handle('releasedParts', ({ parts }) => {
        handleReleases(parts)
        return { kind: 'none' }
      })
      stored.start()
    },
    stop: stored.stop
  }
}
