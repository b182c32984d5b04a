/**
 * Holds the leaving marks of all backend servers by source, and selects which of them are
 * sent with the next heartbeat.
 */
import { mergeLeavingMark } from '../../../decisions/mergeLeavingMark/index.js'
import { observeLeaving } from '../../../decisions/observeLeaving/index.js'
import type { LeavingObservation, LeavingSight } from '../../../decisions/observeLeaving/index.js'
import type { LeavingMark, LeavingSource } from '../../../types/index.js'

export type LeavingMarkSet = {
  readonly isLeaving: (backendServer: string) => boolean
  readonly observe: (observation: LeavingObservation) => void
  readonly merge: (mark: LeavingMark, now: number) => void
  readonly marks: () => readonly LeavingMark[]
  /** Marks for the next heartbeat: those that changed recently or, when there are none, a single mark in rotation. */
  readonly takeNews: (now: number) => readonly LeavingMark[]
}

export type LeavingMarkSetOptions = {
  /** Time for which its source must contradict a mark before it is cleared, in milliseconds. */
  readonly clearAfterMs: Readonly<Record<LeavingSource, number>>
  /** How long a changed mark is sent with every heartbeat, in milliseconds. */
  readonly newsMs: number
}

type Entry = { sight: LeavingSight, changedAt: number }

const MAXIMUM_NEWS = 16
const DEFAULT_SOURCE: LeavingSource = 'backendServer'

const formatInstanceKey = (backendServer: string, source: LeavingSource): string => `${source} ${backendServer}`

export const createLeavingMarkSet = ({ clearAfterMs, newsMs }: LeavingMarkSetOptions): LeavingMarkSet => {
  const entries = new Map<string, Entry>()
  let turn = 0

  const findEntry = (backendServer: string, source: LeavingSource): Entry => {
    const key = formatInstanceKey(backendServer, source)
    const known = entries.get(key)
    if (known !== undefined) return known
    const entry: Entry = { sight: {}, changedAt: -Infinity }
    entries.set(key, entry)
    return entry
  }

  const listMarks = (): readonly LeavingMark[] => [...entries.values()].flatMap(({ sight }) => sight.mark === undefined ? [] : [sight.mark])

  const isNews = (entry: Entry, now: number): boolean => entry.sight.mark !== undefined && now - entry.changedAt < newsMs

  const recall = (): readonly LeavingMark[] => {
    const marks = listMarks()
    return marks.length === 0 ? [] : [marks[turn++ % marks.length]!]
  }

  return {
    isLeaving: (backendServer) => SOURCES.some((source) => entries.get(formatInstanceKey(backendServer, source))?.sight.mark?.leaving === true),
    observe: (observation) => {
      const entry = findEntry(observation.backendServer, observation.source)
      const before = entry.sight
      entry.sight = observeLeaving(before, observation, clearAfterMs[observation.source])
      if (entry.sight.mark !== before.mark) entry.changedAt = observation.observedAt
    },
    merge: (mark, now) => {
      const entry = findEntry(mark.backendServer, mark.source ?? DEFAULT_SOURCE)
      const merged = mergeLeavingMark(entry.sight.mark, mark)
      if (merged === entry.sight.mark) return
      entry.sight = { mark: merged }
      entry.changedAt = now
    },
    marks: listMarks,
    takeNews: (now) => {
      const news = [...entries.values()].filter((entry) => isNews(entry, now)).map(({ sight }) => sight.mark!)
      return news.length === 0 ? recall() : news.slice(-MAXIMUM_NEWS)
    }
  }
}

const SOURCES: readonly LeavingSource[] = ['vmList', 'backendServer']
