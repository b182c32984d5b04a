/**
 * Keeps what is known for and against prompt parts: which backend servers ended under
 * requests with each, and when an answer to one was last in order. An end from before such
 * an answer says nothing: a part that ends servers ends each of them.
 */
import { countIndependentEnds } from '../../../decisions/countIndependentEnds/index.js'
import { limitSize } from '../../_lib/limitSize.js'
import type { Clock, PromptPartKey } from '../../../types/index.js'

export type PartEvidence = {
  /** Records that a server ended under the part; `at` in monotonic milliseconds. */
  readonly recordEnd: (key: PromptPartKey, server: string, at: number) => void
  /** Records that an answer to a request with the part was in order; `at` in monotonic milliseconds. */
  readonly recordSound: (key: PromptPartKey, at: number) => void
  /** Monotonic milliseconds of the last such answer; negative infinity without one. */
  readonly readSoundAt: (key: PromptPartKey) => number
  /** Servers that ended since the last sound answer. */
  readonly listServers: (key: PromptPartKey) => readonly string[]
  /** Monotonic milliseconds of the last end; negative infinity without one. */
  readonly readLastEndAt: (key: PromptPartKey) => number
  /** Number of ends since the last sound answer that may have had causes of their own. */
  readonly countEnds: (key: PromptPartKey) => number
  /** Number of parts with an end. */
  readonly size: () => number
}

/** Ends further apart are no longer taken for the work of one prompt, in milliseconds: servers fail for other reasons too. */
const END_LIFETIME_MS = 60_000
/** A zone's servers that end together leave some thousand parts. */
const MAXIMUM_PARTS = 4_096
const MAXIMUM_SOUND_PARTS = 8_192
const MAXIMUM_SERVERS = 16

/** Formats the key under which a part is kept. */
export const formatPartKey = ({ service, part }: PromptPartKey): string => `${service} ${part}`

/** Creates the record, empty. */
export const createPartEvidence = (clock: Pick<Clock, 'now'>): PartEvidence => {
  const endsByPart = new Map<string, Map<string, number>>()
  const soundAt = new Map<string, number>()

  const readSoundAt: PartEvidence['readSoundAt'] = (key) => soundAt.get(formatPartKey(key)) ?? -Infinity

  const listEnds = (key: PromptPartKey): readonly (readonly [server: string, at: number])[] => {
    const since = Math.max(readSoundAt(key), clock.now() - END_LIFETIME_MS)
    return [...endsByPart.get(formatPartKey(key)) ?? []].filter(([, at]) => at > since)
  }

  return {
    recordEnd: (key, server, at) => {
      const name = formatPartKey(key)
      const ends = new Map(listEnds(key))
      ends.set(server, Math.min(at, ends.get(server) ?? Infinity))
      limitSize(ends, MAXIMUM_SERVERS)
      endsByPart.delete(name)
      endsByPart.set(name, ends)
      limitSize(endsByPart, MAXIMUM_PARTS)
    },
    recordSound: (key, at) => {
      if (at === -Infinity) return
      const name = formatPartKey(key)
      const latest = Math.max(at, readSoundAt(key))
      soundAt.delete(name)
      soundAt.set(name, latest)
      limitSize(soundAt, MAXIMUM_SOUND_PARTS)
    },
    readSoundAt,
    listServers: (key) => listEnds(key).map(([server]) => server),
    readLastEndAt: (key) => Math.max(-Infinity, ...listEnds(key).map(([, at]) => at)),
    countEnds: (key) => countIndependentEnds(listEnds(key).map(([, at]) => at)),
    size: () => endsByPart.size
  }
}
