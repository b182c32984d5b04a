/**
 * Holds the availability zones that an operator drains: their backend servers get no new
 * requests. A few nodes read the drains from the source and relay them to their peers. The
 * state with the higher revision wins, and an outage of the source ends no drain.
 */
import { createSourceFollower } from '../_lib/createSourceFollower.js'
import type { SourceFollowerOptions, SourceReading } from '../_lib/createSourceFollower.js'
import { success } from '../../kernel/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, Logger, ZoneDrainSnapshot, ZoneDrains, ZoneDrainSource } from '../../types/index.js'

export type ZoneDrainsDependencies = {
  readonly clock: Clock
  readonly source: ZoneDrainSource
  readonly logger: Logger
}

export type ZoneDrainsOptions = SourceFollowerOptions & {
  /** How long one watch waits, in milliseconds; a dead connection is detected only after that time. */
  readonly watchWaitMs: number
  /** Whether the deployment has a zone of this name; a drain of any other name has no effect. */
  readonly isZone?: (name: string) => boolean
}

export type RunningZoneDrains = RunningService<ZoneDrains> & {
  /** Applies the drains that a peer sent; the peer last reached the source `ageMs` milliseconds ago, `undefined` when that is unknown. */
  readonly applyPeerUpdate: (update: ZoneDrainSnapshot, ageMs?: number) => void
  /** Returns the drains to send to peers; `undefined` before the first reading. */
  readonly createPeerUpdate: () => ZoneDrainSnapshot | undefined
  /** Milliseconds since this node last read the source, while it can't; 0 while it can. */
  readonly sourceLostMs: () => number
  /** Registers a listener that is called when the source cannot be read. */
  readonly onPeersNeeded: (listener: () => void) => void
}

/**
 * Creates the service.
 *
 * @param dependencies - Clock, the source and the log.
 * @param options - Times in milliseconds, and the other readers of the source.
 * @returns The service; it watches from its start to its stop.
 *
 * @example
 * const drains = createZoneDrains({ clock, source, logger }, { watchWaitMs: 2500 })
 * drains.api.isDrained('zone-a') // => false
 */
export const createZoneDrains = (dependencies: ZoneDrainsDependencies, options: ZoneDrainsOptions): RunningZoneDrains => {
  const { clock, source, logger } = dependencies
  const drained = new Set<string>()
  const endedAt = new Map<string, number>()
  const listeners: (() => void)[] = []
  let revision = 0
  let isKnown = false

  const begin = (zone: string, from: string): void => {
    if (drained.has(zone)) return
    drained.add(zone)
    const isZone = options.isZone?.(zone) ?? true
    if (isZone) logger.info('zone drain begun', { zone, revision, from })
    else logger.warn('zone drain names no zone', { zone, revision, from })
  }

  const end = (zone: string, from: string): void => {
    if (!drained.delete(zone)) return
    endedAt.set(zone, clock.now())
    logger.info('zone drain ended', { zone, revision, from })
  }

  const publish = (): void => { for (const listener of listeners) listener() }

  const replaceAll = (update: ZoneDrainSnapshot, from: string): void => {
    // A peer may have sent a newer state while the reading was under way.
    if (isKnown && update.revision < revision) return
    revision = update.revision
    isKnown = true
    const listed = new Set(update.zones)
    for (const zone of [...drained]) if (!listed.has(zone)) end(zone, from)
    for (const zone of listed) begin(zone, from)
    publish()
  }

  const readAll = async (): Promise<SourceReading> => {
    const result = await source.list()
    return result.ok ? success(() => replaceAll(result.value, 'source')) : result
  }

  const watch = async (): Promise<SourceReading> => {
    const since = revision
    const result = await source.watch(since, options.watchWaitMs)
    if (!result.ok) return result
    const { changes, revision: atRevision } = result.value
    return success(() => {
      // A peer may have sent later changes meanwhile; the next watch begins after them.
      if (atRevision < revision) return
      revision = atRevision
      for (const { zone, isEnded } of changes) {
        if (isEnded) end(zone, 'source')
        else begin(zone, 'source')
      }
      if (changes.length > 0) publish()
    })
  }

  const follower = createSourceFollower(clock, {
    readAll,
    watch,
    isKnown: () => isKnown,
    onReached: () => logger.info('zone drains reached', { revision }),
    onLost: (reason) => logger.warn('zone drains lost', { reason, drained: [...drained].join(), revision }),
    onHistoryGone: () => logger.info('zone drain history gone', { revision })
  }, options)

  return {
    api: {
      isDrained: (zone) => drained.has(zone),
      endedAgoMs: (zone) => clock.now() - (endedAt.get(zone) ?? -Infinity),
      revision: () => revision,
      isKnown: () => isKnown,
      onChange: (listener) => { listeners.push(listener) }
    },
    applyPeerUpdate: (update, ageMs) => {
      if (ageMs !== undefined) follower.recordRelay(ageMs)
      if (!isKnown || update.revision > revision) replaceAll(update, 'peer')
    },
    createPeerUpdate: () => isKnown ? { revision, zones: [...drained] } : undefined,
    sourceLostMs: follower.lostMs,
    onPeersNeeded: follower.onPeersNeeded,
    start: follower.start,
    stop: follower.stop
  }
}
