/**
 * Writes at which software versions streams began to the platform's store, for all nodes of
 * an availability zone. The zone has a few objects: one is written again as it grows, then
 * the next, and the oldest are replaced once no stream in them can be taken up. Each write
 * states the revision that it replaces, so that neither a late write nor that of another
 * node takes away what was written since.
 */
import { containRead } from '../../_lib/containRead.js'
import { describeSourceError } from '../../../decisions/describeSourceError/index.js'
import { shortenId } from '../../../hashing/index.js'
import type { Clock, Logger, Result, SourceError, StreamBegin, StreamBeginRecord, StreamBeginStore, StreamBeginWrite, Timer } from '../../../types/index.js'

export type BeginWriter = {
  readonly keep: (service: string, begins: readonly StreamBegin[]) => void
  readonly stop: () => void
}

export type BeginWriterDependencies = {
  readonly clock: Pick<Clock, 'now' | 'setTimer'>
  readonly logger: Pick<Logger, 'info' | 'warn'>
  readonly store: StreamBeginStore
  readonly readZone: () => string
}

export type BeginWriterOptions = {
  /** Time between two writes, in milliseconds. */
  readonly keepIntervalMs: number
}

type Entry = { readonly service: string, readonly softwareVersion: string, readonly id: string }

/** An object of the zone as far as it is known; without a revision it is to be created. */
type ZoneObject = { readonly revision?: number | undefined, readonly writtenAt: number }

/** The object that is growing. `openedAt` is omitted until its first write is acknowledged. */
type OpenObject = { readonly index: number, readonly entries: readonly Entry[], readonly openedAt?: number }

/** An object grows up to this; all that it has is written again with each addition, some 3 kB a write in the mean. */
const MAXIMUM_GROWING_RECORDS = 500
/** Some 25 kB, for the streams of the last moments as a second version begins to serve. */
const MAXIMUM_RECORDS_PER_WRITE = 2_000
const MAXIMUM_OPEN_MS = 5_000
/** An object is replaced when its last record is older than this: twice as long as a stream may be taken up. */
export const OBJECT_LIFETIME_MS = 90_000
/** Enough for the lifetime at any rate, as a write each 200 ms opens 450 at most; usually some twenty are in use. */
export const MAXIMUM_OBJECTS = 512
export const MAXIMUM_WAITING_RECORDS = 20_000
const RETRY_MS = 500
/** After a conflict another object is tried. */
const CONFLICT_RETRY_MS = 20
const MAXIMUM_ZONE_CHARACTERS = 64
const SAFE_NAME = /^[A-Za-z0-9_-]+$/

const formatPrefix = (zone: string): string => `${SAFE_NAME.test(zone) && zone.length <= MAXIMUM_ZONE_CHARACTERS ? zone : shortenId(zone)}-`

/** Number of the zone's object with this name. */
const parseIndex = (prefix: string, name: string): number | undefined => {
  const index = Number(name.slice(prefix.length))
  return name === `${prefix}${index}` && Number.isInteger(index) && index >= 0 && index < MAXIMUM_OBJECTS ? index : undefined
}

const groupEntries = (entries: readonly Entry[]): readonly StreamBeginRecord[] => {
  const groups = new Map<string, { readonly service: string, readonly softwareVersion: string, readonly ids: string[] }>()
  for (const { service, softwareVersion, id } of entries) {
    const key = JSON.stringify([service, softwareVersion])
    const group = groups.get(key) ?? { service, softwareVersion, ids: [] }
    group.ids.push(id)
    groups.set(key, group)
  }
  return [...groups.values()].map((group) => ({ ...group, ids: group.ids.join('') }))
}

/** Creates the writer; it makes no call until it is given a record. */
export const createBeginWriter = ({ clock, logger, store, readZone }: BeginWriterDependencies, { keepIntervalMs }: BeginWriterOptions): BeginWriter => {
  let waiting: Entry[] = []
  let objects = new Map<number, ZoneObject>()
  let open: OpenObject | undefined
  let knownAt = -Infinity
  let timer: Timer | undefined
  let isWriting = false
  let isFailing = false
  let isStopped = false
  let dropped = 0

  const dropOldest = (): void => {
    const excess = waiting.length - MAXIMUM_WAITING_RECORDS
    if (excess <= 0) return
    waiting = waiting.slice(excess)
    dropped += excess
  }

  /** A process that has just started, or has not written for long, knows nothing of what others wrote: all that it finds counts as new. */
  const readObjects = async (): Promise<Result<unknown, SourceError>> => {
    const listed = await containRead(store.list)
    if (!listed.ok) return listed
    const prefix = formatPrefix(readZone())
    knownAt = clock.now()
    open = undefined
    objects = new Map(listed.value.flatMap(({ name, revision }): (readonly [number, ZoneObject])[] => {
      const index = parseIndex(prefix, name)
      return index === undefined ? [] : [[index, { revision, writtenAt: knownAt }]]
    }))
    return listed
  }

  const readWrittenAt = (index: number): number => objects.get(index)?.writtenAt ?? -Infinity

  /** The first object whose streams can't be taken up any more; the oldest one when there is none. */
  const chooseIndex = (): number => {
    const indexes = Array.from({ length: MAXIMUM_OBJECTS }, (_, index) => index)
    return indexes.find((index) => readWrittenAt(index) < clock.now() - OBJECT_LIFETIME_MS) ??
      indexes.reduce((oldest, index) => readWrittenAt(index) < readWrittenAt(oldest) ? index : oldest)
  }

  const isGrowing = ({ entries, openedAt = Infinity }: OpenObject): boolean => entries.length < MAXIMUM_GROWING_RECORDS && clock.now() < openedAt + MAXIMUM_OPEN_MS

  const getOpenObject = (): OpenObject => {
    open = open !== undefined && isGrowing(open) ? open : { index: chooseIndex(), entries: [] }
    return open
  }

  const recordFailure = (error: SourceError): void => {
    if (!isFailing) logger.warn('stream begins not written', { reason: describeSourceError(error), waiting: waiting.length })
    isFailing = true
  }

  const recordSuccess = (): void => {
    if (isFailing || dropped > 0) logger.info('stream begins written', { dropped })
    isFailing = false
    dropped = 0
  }

  const recordWrite = (write: StreamBeginWrite, { index, openedAt = clock.now() }: OpenObject, entries: readonly Entry[]): void => {
    knownAt = clock.now()
    objects.set(index, { revision: write.revision, writtenAt: knownAt })
    open = write.kind === 'written' ? { index, entries, openedAt } : undefined
    if (write.kind === 'written') recordSuccess()
  }

  /** Writes what waits; resolves with the time until the next write. */
  const write = async (): Promise<number> => {
    if (knownAt < clock.now() - OBJECT_LIFETIME_MS) {
      const listed = await readObjects()
      if (!listed.ok) {
        recordFailure(listed.error)
        return RETRY_MS
      }
    }
    const object = getOpenObject()
    const added = waiting.splice(0, MAXIMUM_RECORDS_PER_WRITE)
    const entries = [...object.entries, ...added]
    const revision = objects.get(object.index)?.revision
    const result = await store.write({ name: `${formatPrefix(readZone())}${object.index}`, ...(revision === undefined ? {} : { revision }), records: groupEntries(entries) })
    if (result.ok) recordWrite(result.value, object, entries)
    else recordFailure(result.error)
    if (result.ok && result.value.kind === 'written') return keepIntervalMs
    waiting = [...added, ...waiting]
    dropOldest()
    return result.ok ? CONFLICT_RETRY_MS : RETRY_MS
  }

  const run = async (): Promise<void> => {
    timer = undefined
    isWriting = true
    const delayMs = await write()
    isWriting = false
    schedule(delayMs)
  }

  const schedule = (delayMs: number): void => {
    if (waiting.length > 0 && !isWriting && !isStopped) timer ??= clock.setTimer(delayMs, run)
  }

  return {
    keep: (service, begins) => {
      for (const { requestId, softwareVersion } of begins) waiting.push({ service, softwareVersion, id: shortenId(requestId) })
      dropOldest()
      schedule(keepIntervalMs)
    },
    stop: () => {
      isStopped = true
      timer?.cancel()
      // A planned stop loses nothing that can still be written.
      if (waiting.length > 0 && !isWriting) write()
    }
  }
}
