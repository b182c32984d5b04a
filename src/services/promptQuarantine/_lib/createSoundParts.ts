/** Keeps when answers to requests with each prompt part were last in order, and how many requests of a service broke lately. */
import { formatPartKey } from './formatPartKey.js'
import { limitSize } from '../../_lib/limitSize.js'
import type { Clock, PromptPartKey, RequestCounts } from '../../../types/index.js'

export type SoundParts = {
  /** Records that an answer to a request with the part was in order; `at` in monotonic milliseconds. */
  readonly record: (key: PromptPartKey, at: number) => void
  /** Monotonic milliseconds of the last such answer; negative infinity without one. */
  readonly readAt: (key: PromptPartKey) => number
  readonly countRequests: (service: string, counts: RequestCounts) => void
  /** Requests of the service that ended within the last seconds. */
  readonly readCounts: (service: string) => RequestCounts
}

const MAXIMUM_PARTS = 8_192
/** Requests are counted over one to two of these periods, in milliseconds. */
const PERIOD_MS = 5_000

type Periods = { readonly beganAt: number, readonly current: RequestCounts, readonly previous: RequestCounts }

const NONE: RequestCounts = { complete: 0, broken: 0 }

const add = (left: RequestCounts, right: RequestCounts): RequestCounts => ({ complete: left.complete + right.complete, broken: left.broken + right.broken })

/** Creates the record, empty. */
export const createSoundParts = (clock: Pick<Clock, 'now'>): SoundParts => {
  const soundAt = new Map<string, number>()
  const periodsByService = new Map<string, Periods>()

  const readAt: SoundParts['readAt'] = (key) => soundAt.get(formatPartKey(key)) ?? -Infinity

  const readPeriods = (service: string): Periods => {
    const now = clock.now()
    const known = periodsByService.get(service) ?? { beganAt: now, current: NONE, previous: NONE }
    const periods = Math.floor((now - known.beganAt) / PERIOD_MS)
    if (periods === 0) return known
    return { beganAt: known.beganAt + periods * PERIOD_MS, current: NONE, previous: periods === 1 ? known.current : NONE }
  }

  return {
    record: (key, at) => {
      if (at === -Infinity) return
      const name = formatPartKey(key)
      const latest = Math.max(at, readAt(key))
      soundAt.delete(name)
      soundAt.set(name, latest)
      limitSize(soundAt, MAXIMUM_PARTS)
    },
    readAt,
    countRequests: (service, counts) => {
      const periods = readPeriods(service)
      periodsByService.set(service, { ...periods, current: add(periods.current, counts) })
    },
    readCounts: (service) => {
      const { current, previous } = readPeriods(service)
      return add(current, previous)
    }
  }
}
