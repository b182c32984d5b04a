/**
 * Removes software versions from the register that no backend server has any more. An
 * entry is marked first, and removed when it has stayed so for longer than a stream can
 * be taken up: whoever uses the version again writes its entry, so that the removal
 * fails. The time is this process's own: after a loss of all processes it begins anew.
 */
import type { ThrownReport } from '../../_lib/containStep.js'
import type { Clock, RandomSource, ServiceVersion, Timer } from '../../../types/index.js'
import type { VersionEntry, VersionRegister } from '../../versionRegister/index.js'

export type VersionEnds = {
  /** The list has changed, or the register was read. */
  readonly update: () => void
  readonly stop: () => void
}

export type VersionEndsDependencies = {
  readonly clock: Pick<Clock, 'now' | 'setTimer'>
  readonly random: Pick<RandomSource, 'next'>
  readonly register: Pick<VersionRegister, 'read' | 'lastRead' | 'setEnding' | 'remove'>
  /** Whether a server of the version is in the list. */
  readonly isPresent: (version: ServiceVersion) => boolean
  /** Whether this node reads the platform for its zone: its list is the latest there is. */
  readonly isReader: () => boolean
  /** For how long streams of a service may be taken up, in milliseconds. */
  readonly readHorizonMs: (service: string) => number
  /** Called with what a look throws; the next one follows soon. */
  readonly onThrown?: ThrownReport | undefined
}

/** Nodes whose list is late begin streams at a version for this much longer, in milliseconds. */
const LATE_LIST_MS = 10_000
/** Readers look in turn, so that most find what one of them has written; in milliseconds. */
const FIRST_LOOK_MS = 500
const SPREAD_MS = 2_000

/** Creates the watcher; it makes no calls while every registered version serves. */
export const createVersionEnds = ({ clock, random, register, isPresent, isReader, readHorizonMs, onThrown }: VersionEndsDependencies): VersionEnds => {
  /** Monotonic milliseconds since which entries are known as they are, by name and revision. */
  const endingSince = new Map<string, number>()
  /** Monotonic milliseconds since which no server of an entry's version is in the list, by name. */
  const absentSince = new Map<string, number>()
  let scheduled: { readonly timer: Timer, readonly dueAt: number } | undefined

  const formatKey = ({ name, revision }: VersionEntry): string => `${name} ${revision}`

  const isStale = (entry: VersionEntry): boolean => entry.isEnding === isPresent(entry)

  /** Milliseconds until the entry may be removed; `undefined` while it stays. */
  const computeLeftMs = (entry: VersionEntry): number | undefined => {
    if (isPresent(entry)) return undefined
    const since = Math.max(endingSince.get(formatKey(entry)) ?? clock.now(), absentSince.get(entry.name) ?? clock.now())
    return since + readHorizonMs(entry.service) + LATE_LIST_MS - clock.now()
  }

  const settle = async (entry: VersionEntry): Promise<void> => {
    if (isStale(entry)) {
      const revision = await register.setEnding(entry, !isPresent(entry))
      if (revision !== undefined) endingSince.set(formatKey({ ...entry, revision }), clock.now())
      return
    }
    if (!entry.isEnding) return
    const key = formatKey(entry)
    if (!endingSince.has(key)) endingSince.set(key, clock.now())
    recordPresence(entry)
    if ((computeLeftMs(entry) ?? Infinity) > 0) return
    endingSince.delete(key)
    absentSince.delete(entry.name)
    await register.remove(entry)
  }

  const recordPresence = (entry: VersionEntry): void => {
    if (isPresent(entry)) absentSince.delete(entry.name)
    else if (!absentSince.has(entry.name)) absentSince.set(entry.name, clock.now())
  }

  const look = async (): Promise<void> => {
    scheduled = undefined
    try {
      const entries = isReader() ? await register.read() : undefined
      if (entries?.ok === true) for (const entry of entries.value) await settle(entry)
    } catch (error) {
      onThrown?.(error)
      return schedule(0)
    }
    const remaining = (register.lastRead() ?? []).flatMap((entry) => computeLeftMs(entry) ?? [])
    if (remaining.length > 0) schedule(Math.max(0, Math.min(...remaining)))
  }

  const schedule = (ms: number): void => {
    const delayMs = ms + FIRST_LOOK_MS + SPREAD_MS * random.next()
    const dueAt = clock.now() + delayMs
    if (scheduled !== undefined && scheduled.dueAt <= dueAt) return
    scheduled?.timer.cancel()
    scheduled = { dueAt, timer: clock.setTimer(delayMs, () => { look() }) }
  }

  return {
    update: () => {
      const entries = register.lastRead() ?? []
      for (const entry of entries) recordPresence(entry)
      if (entries.some(isStale)) return schedule(0)
      // What an earlier process has marked is this one's to remove.
      const remaining = entries.flatMap((entry) => computeLeftMs(entry) ?? [])
      if (remaining.length > 0) schedule(Math.max(0, Math.min(...remaining)))
    },
    stop: () => scheduled?.timer.cancel()
  }
}
