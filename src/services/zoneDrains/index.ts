/**
 * The availability zones whose backend servers get no work, because an operator
 * drains them. Read from the source by few nodes and passed on by peers; the
 * state of the higher revision holds, and an outage of the source ends no drain.
 */
import { createSourceFollower } from '../_lib/createSourceFollower.js'
import type { SourceFollowerOptions, SourceReading } from '../_lib/createSourceFollower.js'
import { success } from '../../kernel/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, Logger, ZoneDrainNews, ZoneDrains, ZoneDrainSource } from '../../types/index.js'

export type ZoneDrainsDependencies = {
  readonly clock: Clock
  readonly source: ZoneDrainSource
  readonly logger: Logger
}

export type ZoneDrainsOptions = SourceFollowerOptions & {
  /** How long one watch waits in milliseconds; a silent connection is found that much later. */
  readonly watchWaitMs: number
  /** Whether the deployment has a zone of this name; a drain of another one changes nothing. */
  readonly isZone?: (name: string) => boolean
}

export type RunningZoneDrains = RunningService<ZoneDrains> & {
  /** Takes what a peer knows; it last reached the source `ageMs` ago where that is known. */
  readonly learn: (news: ZoneDrainNews, ageMs?: number) => void
  /** What this node knows, for peers; `undefined` before it knows anything. */
  readonly news: () => ZoneDrainNews | undefined
  readonly onNeed: (listener: () => void) => void
}

/**
 * Creates the service.
 *
 * @param dependencies - Clock, the source and the log.
 * @param options - Times in milliseconds, and who else reads the source.
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

  const replaceAll = (news: ZoneDrainNews, from: string): void => {
    // A reading that was on its way while a peer told something newer.
    if (isKnown && news.revision < revision) return
    revision = news.revision
    isKnown = true
    const listed = new Set(news.zones)
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
      // A peer may have told of later changes meanwhile: the next watch begins there.
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
    learn: (news, ageMs) => {
      if (ageMs !== undefined) follower.noteRelayed(ageMs)
      if (!isKnown || news.revision > revision) replaceAll(news, 'peer')
    },
    news: () => isKnown ? { revision, zones: [...drained] } : undefined,
    onNeed: follower.onNeed,
    start: follower.start,
    stop: follower.stop
  }
}
