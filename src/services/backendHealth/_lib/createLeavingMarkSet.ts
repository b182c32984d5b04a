/**
 * Holds the leaving marks of all backend servers by source, and selects which of them are
 * sent with the next heartbeat.
 */
import { mergeLeavingMark } from '../../../decisions/mergeLeavingMark/index.js'
import { applyLeavingObservation } from '../../../decisions/applyLeavingObservation/index.js'
import type { LeavingObservation, LeavingStatus } from '../../../decisions/applyLeavingObservation/index.js'
import type { LeavingMark, LeavingSource } from '../../../types/index.js'

export type LeavingMarkSet = {
  readonly isLeaving: (backendServer: string) => boolean
  readonly observe: (observation: LeavingObservation) => void
  readonly merge: (mark: LeavingMark, now: number) => void
  readonly marks: () => readonly LeavingMark[]
  /** Marks for the next heartbeat: those that changed recently or, when there are none, a single mark in rotation. */
  readonly selectForHeartbeat: (now: number) => readonly LeavingMark[]
}

export type LeavingMarkSetOptions = {
  /** Time for which its source must contradict a mark before it is cleared, in milliseconds. */
  readonly clearAfterMs: Readonly<Record<LeavingSource, number>>
  /** How long a changed mark is sent with every heartbeat, in milliseconds. */
  readonly resendMs: number
}

type Entry = { observed: LeavingStatus, changedAt: number }

const MAXIMUM_MARKS_PER_HEARTBEAT = 16
const DEFAULT_SOURCE: LeavingSource = 'backendServer'

const formatMarkKey = (backendServer: string, source: LeavingSource): string => `${source} ${backendServer}`

export const createLeavingMarkSet = ({ clearAfterMs, resendMs }: LeavingMarkSetOptions): LeavingMarkSet => {
  const entries = new Map<string, Entry>()
  let rotation = 0

  const findEntry = (backendServer: string, source: LeavingSource): Entry => {
    const key = formatMarkKey(backendServer, source)
    const known = entries.get(key)
    if (known !== undefined) return known
    const entry: Entry = { observed: {}, changedAt: -Infinity }
    entries.set(key, entry)
    return entry
  }

  const listMarks = (): readonly LeavingMark[] => [...entries.values()].flatMap(({ observed }) => observed.mark === undefined ? [] : [observed.mark])

  const isRecentlyChanged = (entry: Entry, now: number): boolean => entry.observed.mark !== undefined && now - entry.changedAt < resendMs

  const selectInRotation = (): readonly LeavingMark[] => {
    const marks = listMarks()
    return marks.length === 0 ? [] : [marks[rotation++ % marks.length]!]
  }

  return {
    isLeaving: (backendServer) => SOURCES.some((source) => entries.get(formatMarkKey(backendServer, source))?.observed.mark?.leaving === true),
    observe: (observation) => {
      const entry = findEntry(observation.backendServer, observation.source)
      const before = entry.observed
      entry.observed = applyLeavingObservation(before, observation, clearAfterMs[observation.source])
      if (entry.observed.mark !== before.mark) entry.changedAt = observation.observedAt
    },
    merge: (mark, now) => {
      const entry = findEntry(mark.backendServer, mark.source ?? DEFAULT_SOURCE)
      const merged = mergeLeavingMark(entry.observed.mark, mark)
      if (merged === entry.observed.mark) return
      entry.observed = { mark: merged }
      entry.changedAt = now
    },
    marks: listMarks,
    selectForHeartbeat: (now) => {
      const changed = [...entries.values()].filter((entry) => isRecentlyChanged(entry, now)).map(({ observed }) => observed.mark!)
      return changed.length === 0 ? selectInRotation() : changed.slice(-MAXIMUM_MARKS_PER_HEARTBEAT)
    }
  }
}

const SOURCES: readonly LeavingSource[] = ['vmList', 'backendServer']
