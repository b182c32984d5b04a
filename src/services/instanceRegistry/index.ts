/**
 * Holds the list of backend servers of a gateway node: read from the source and updated by
 * a watch. The list stays in use while the source is unreachable; servers whose entries are
 * missing when the source is reachable again get a moment to register.
 */
import { isDeepStrictEqual } from 'node:util'
import { createChangeLog } from './_lib/createChangeLog.js'
import { createLatestRuns } from './_lib/createLatestRuns.js'
import { createLeavingRuns } from './_lib/createLeavingRuns.js'
import { createMalformedEntries } from './_lib/createMalformedEntries.js'
import { createRegistrations, markUnregistered } from './_lib/createRegistrations.js'
import { createRemovals } from './_lib/createRemovals.js'
import { describeUnusable } from './_lib/describeUnusable.js'
import { createWarmUpDeadlines } from './_lib/createWarmUpDeadlines.js'
import type { EntryOrigin } from './_lib/createWarmUpDeadlines.js'
import type { InstanceRegistryDependencies, InstanceRegistryOptions, RunningInstanceRegistry } from './_lib/registryTypes.js'
import { createSourceFollower } from '../_lib/createSourceFollower.js'
import type { SourceReading } from '../_lib/createSourceFollower.js'
import { readSoftwareVersion } from '../../decisions/readSoftwareVersion/index.js'
import { failure, success } from '../../kernel/index.js'
import type { BackendInstance, InstanceEntry } from '../../types/index.js'

export type { InstanceRegistryDependencies, InstanceRegistryOptions, RunningInstanceRegistry } from './_lib/registryTypes.js'

/** Servers whose entries expired in an outage of the source register again within two seconds of its end; after that time a missing one is removed. In milliseconds. */
const REAPPEAR_MS = 2_000
/** Other writers may fill pages with large entries, one a page. */
const MAXIMUM_PAGES = 4_000

/**
 * Creates the registry.
 *
 * @param dependencies - Clock, the source and the log.
 * @param options - Times in milliseconds.
 * @returns The service; it watches from its start to its stop.
 *
 * @example
 * const registry = createInstanceRegistry({ clock, source, logger }, { watchWaitMs: 2500, contact })
 * registry.api.list('engines') // => []
 */
export const createInstanceRegistry = (dependencies: InstanceRegistryDependencies, options: InstanceRegistryOptions): RunningInstanceRegistry => {
  const { clock, source, logger } = dependencies
  const instances = new Map<string, BackendInstance>()
  /** Highest incarnation known to have ended, by id: a stale copy of its entry can't add it again. */
  const goneIncarnations = new Map<string, number>()
  const latestRuns = createLatestRuns()
  const leavingRuns = createLeavingRuns()
  const missingSince = new Map<string, number>()
  const removals = createRemovals(clock, options.drainMs ?? 0)
  const warmUpDeadlines = createWarmUpDeadlines(clock)
  const listeners: (() => void)[] = []
  const waitingListeners: (() => void)[] = []
  const malformedEntries = createMalformedEntries(logger)
  const changes = createChangeLog(clock.wallTime())
  let byService = new Map<string, BackendInstance[]>()
  let revision = 0
  /** Revision as of which this node has read the source itself. */
  let readRevision = -1
  let isKnown = false

  const publish = (): void => {
    byService = new Map()
    for (const instance of instances.values()) {
      if (instance.isLeaving) continue
      const known = byService.get(instance.service)
      if (known === undefined) byService.set(instance.service, [instance])
      else known.push(instance)
    }
    registrations.retainListed()
    for (const listener of listeners) listener()
  }

  const remove = (name: string, reason: string): void => {
    const instance = instances.get(name)
    if (instance === undefined) return
    instances.delete(name)
    missingSince.delete(name)
    removals.record(instance, revision)
    warmUpDeadlines.forget(instance)
    changes.record(name)
    logger.info('backend server removed', { backendServer: name, service: instance.service, reason, revision })
  }

  /** Whether two copies of an entry are equal apart from the remaining warm-up, which decreases with time. */
  const isSameEntry = (one: BackendInstance | undefined, other: BackendInstance): boolean =>
    one !== undefined && isDeepStrictEqual({ ...one, warmUpMs: 0 }, { ...other, warmUpMs: 0 })

  const logLeaving = ({ id, service }: BackendInstance, from: 'list' | 'answer'): void =>
    logger.info('backend server leaving', { backendServer: id, service, from, revision })

  const registrations = createRegistrations({
    clock,
    enterVersions: options.enterVersions,
    onThrown: options.onThrown,
    listInstances: () => instances.values(),
    onRegistered: (registered) => {
      for (const instance of registered.filter(({ isUnregistered }) => isUnregistered === true)) {
        instances.set(instance.id, markUnregistered(instance, false))
        changes.record(instance.id)
      }
      publish()
    }
  })

  /** Whether streams that may be resumed must not begin at the server yet; a peer says so of what it lists. */
  const isYetUnregistered = (known: BackendInstance | undefined, next: BackendInstance, origin: EntryOrigin): boolean => {
    const wasRegistered = known !== undefined && known.isUnregistered !== true && known.service === next.service && readSoftwareVersion(known) === readSoftwareVersion(next)
    return !wasRegistered && !registrations.isRegistered(next) && (origin !== 'peer' || next.isUnregistered === true)
  }

  /** Takes back what was known of runs that another writer has stated, once an earlier run has written its entry again. */
  const forgetLaterRuns = (name: string): void => {
    goneIncarnations.delete(name)
    leavingRuns.forget(name)
    remove(name, 'entry of an earlier start was written again')
    removals.markGone(name)
  }

  const put = ({ name, instance, problem = '' }: InstanceEntry, origin: EntryOrigin, atRevision: number): void => {
    if (instance === undefined) return malformedEntries.report(name, problem, revision)
    missingSince.delete(name)
    const order = latestRuns.record(instance, origin, atRevision)
    if (order === 'stale') return
    if (order === 'rewritten') forgetLaterRuns(name)
    const known = instances.get(name)
    if (instance.incarnation <= (goneIncarnations.get(name) ?? -Infinity)) return
    if (known !== undefined && instance.incarnation < known.incarnation) return
    // A server stays leaving until it restarts: a stale copy of its entry may still show it as ready.
    if (instance.isLeaving) leavingRuns.record(instance)
    const isLeaving = leavingRuns.has(instance)
    const next = markUnregistered({ ...instance, isLeaving }, isYetUnregistered(known, instance, origin))
    if (known !== undefined && known.incarnation !== next.incarnation) warmUpDeadlines.forget(known)
    const isWarmUpLater = warmUpDeadlines.record(next, origin)
    if (isWarmUpLater || !isSameEntry(known, next)) changes.record(name)
    instances.set(name, next)
    if (origin !== 'peer') registrations.enter(next)
    else if (next.isUnregistered === true) registrations.enterIfStillMarked(next)
    if (known === undefined) logger.info('backend server added', { backendServer: name, service: instance.service, incarnation: instance.incarnation, revision })
    else if (isLeaving && !known.isLeaving) logLeaving(next, 'list')
  }

  /** A peer of another build may accept entries that this one does not. */
  const toEntry = (instance: BackendInstance): InstanceEntry => {
    const field = describeUnusable(instance)
    return field === undefined ? { name: instance.id, instance } : { name: instance.id, problem: `${field} of a peer's entry can't be used` }
  }

  /** Removes a server whose entry is missing: at once, or after `REAPPEAR_MS` when an outage of the source has just ended. */
  const removeMissing = (name: string): void => {
    if (!instances.has(name)) return
    const keptMs = REAPPEAR_MS - options.contact.outageEndedAgoMs()
    if (instances.get(name)?.isLeaving === true || keptMs <= 0) return remove(name, 'entry removed')
    if (missingSince.has(name)) return
    missingSince.set(name, clock.now())
    for (const listener of waitingListeners) listener()
    logger.info('backend server kept', { backendServer: name, forMs: Math.round(keptMs), revision })
    clock.setTimer(keptMs, () => {
      if (!missingSince.has(name)) return
      remove(name, 'entry missing after an outage of the source')
      publish()
    })
  }

  const replaceAll = (entries: readonly InstanceEntry[], atRevision: number, origin: EntryOrigin): void => {
    revision = atRevision
    isKnown = true
    const listed = new Set(entries.map(({ name }) => name))
    for (const name of [...instances.keys()]) if (!listed.has(name)) removeMissing(name)
    for (const entry of entries) put(entry, origin, atRevision)
    publish()
  }

  const applyList = (entries: readonly InstanceEntry[], listedAt: number): void => {
    readRevision = listedAt
    replaceAll(entries, listedAt, 'list')
  }

  const readAll = async (): Promise<SourceReading> => {
    const entries: InstanceEntry[] = []
    let after: string | undefined
    let listedAt: number | undefined
    for (let page = 0; page < MAXIMUM_PAGES; page++) {
      const result = await source.list(after)
      if (!result.ok) return result
      entries.push(...result.value.entries)
      // The watch starts from the first page's revision, so changes between two pages are not lost.
      const revisionOfFirst = listedAt ??= result.value.revision
      after = result.value.continueAfter
      if (after === undefined) return success(() => applyList(entries, revisionOfFirst))
    }
    // Servers on further pages would count as removed.
    return failure({ kind: 'malformed', message: `list with more than ${MAXIMUM_PAGES} pages` })
  }

  const watch = async (): Promise<SourceReading> => {
    const result = await source.watch(revision, options.watchWaitMs)
    if (!result.ok) return result
    const { changes: entries, revision: atRevision } = result.value
    return success(() => {
      revision = Math.max(revision, atRevision)
      readRevision = atRevision
      for (const entry of entries) {
        if (entry.isRemoved) removeMissing(entry.name)
        else put(entry, 'change', atRevision)
      }
      if (entries.length > 0) publish()
    })
  }

  const isWaiting = (): boolean => missingSince.size > 0

  options.contact.onRefuted(() => {
    if (!isWaiting()) return
    for (const name of [...missingSince.keys()]) remove(name, 'entry removed while peers reached the source')
    publish()
  })

  const follower = createSourceFollower(clock, {
    readAll,
    watch,
    isKnown: () => isKnown,
    isWaiting,
    onReached: () => logger.info('backend server list reached', { revision }),
    onLost: (reason) => logger.warn('backend server list lost', { reason, known: instances.size, revision }),
    onHistoryGone: () => logger.info('backend server history gone', { revision })
  }, options)

  /** The entry as it is sent to peers, with the remaining warm-up as of now. */
  const toPeerEntry = (instance: BackendInstance): BackendInstance =>
    instance.warmUpMs === 0 ? instance : { ...instance, warmUpMs: Math.round(warmUpDeadlines.remainingMs(instance)) }

  return {
    api: {
      list: (service) => byService.get(service) ?? [],
      find: (id) => instances.get(id),
      all: () => [...instances.values()],
      recentlyRemoved: removals.listDraining,
      revision: () => revision,
      isKnown: () => isKnown,
      warmUpLeftMs: warmUpDeadlines.remainingMs,
      markLeaving: (instance) => {
        if (!leavingRuns.record(instance)) return
        const known = instances.get(instance.id)
        if (known === undefined || !leavingRuns.has(known)) return
        instances.set(instance.id, { ...known, isLeaving: true })
        changes.record(instance.id)
        logLeaving(known, 'answer')
        publish()
      },
      markGone: (instance, reason) => {
        const known = instances.get(instance.id)
        if (known === undefined || known.incarnation !== instance.incarnation) return
        goneIncarnations.set(instance.id, instance.incarnation)
        remove(instance.id, reason)
        removals.markGone(instance.id)
        publish()
      },
      onChange: (listener) => { listeners.push(listener) }
    },
    applyPeerUpdate: (update, atRevision, ageMs) => {
      follower.recordRelay(ageMs)
      if (update.isWhole && atRevision <= revision && isKnown) return
      const entries = update.instances
        .filter((instance) => !removals.isRemovedAsOf(instance, atRevision))
        .map(toEntry)
      if (update.isWhole) return replaceAll(entries, atRevision, 'peer')
      if (!isKnown) return
      revision = Math.max(revision, atRevision)
      if (entries.length + update.removed.length === 0) return
      // A peer that knows no later state than this node has read can't know of a removal, unless both wait for the entry.
      const removed = update.removed.filter((name) => atRevision > readRevision || missingSince.has(name))
      for (const name of removed) remove(name, 'removed at a peer')
      // Nor of an addition: the source had removed the server before.
      for (const entry of entries) if (atRevision >= readRevision || instances.has(entry.name)) put(entry, 'peer', atRevision)
      publish()
    },
    createPeerUpdate: (position, knownRevision) => {
      const names = changes.listSince(position)
      const isWhole = names === undefined && knownRevision < revision
      // A server whose entry is missing stays in the list for a moment; it must not be reported to peers as present.
      const changed = [...instances.values()].filter(({ id }) => isWhole || (names?.has(id) === true && !missingSince.has(id)))
      const removed = [...names ?? []].filter((name) => !instances.has(name))
      return { isWhole, instances: changed.map(toPeerEntry), removed, position: changes.position() }
    },
    position: changes.position,
    isSourceReachable: follower.isReachable,
    isWaiting,
    onWaiting: (listener) => { waitingListeners.push(listener) },
    sourceLostMs: follower.lostMs,
    onPeersNeeded: follower.onPeersNeeded,
    start: follower.start,
    stop: () => {
      follower.stop()
      registrations.stop()
    }
  }
}
