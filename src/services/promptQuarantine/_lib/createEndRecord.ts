/** Keeps which servers of each service ended lately, and which prompt parts ran there, as all nodes tell a holder. */
import { limitSize } from '../../_lib/limitSize.js'
import type { SuspiciousEnd } from '../../../decisions/selectCulprits/index.js'
import type { Clock } from '../../../types/index.js'

export type EndRecord = {
  /** Adds the parts of one node's requests; `at` in monotonic milliseconds. */
  readonly record: (service: string, end: { readonly server: string, readonly at: number, readonly parts: readonly string[] }) => void
  /** Ends of the service, without the parts of which an answer was in order since. */
  readonly list: (service: string, readSoundAt: (part: string) => number) => readonly SuspiciousEnd[]
  /** Number of ends. */
  readonly size: () => number
}

type End = { readonly server: string, readonly at: number, readonly parts: ReadonlySet<string> }

/** Ends further apart are no longer taken for the work of one prompt, in milliseconds: servers fail for other reasons too. */
const LIFETIME_MS = 60_000
/** More than the servers of a zone. */
const MAXIMUM_ENDS = 128
const MAXIMUM_PARTS_PER_END = 256

/** Creates the record, empty. */
export const createEndRecord = (clock: Pick<Clock, 'now'>): EndRecord => {
  const endsByService = new Map<string, Map<string, End>>()

  const listRecent = (service: string): readonly End[] =>
    [...endsByService.get(service)?.values() ?? []].filter(({ at }) => at > clock.now() - LIFETIME_MS)

  return {
    record: (service, { server, at, parts }) => {
      const ends = endsByService.get(service) ?? new Map<string, End>()
      endsByService.set(service, ends)
      const known = ends.get(server)
      ends.set(server, { server, at: Math.min(at, known?.at ?? Infinity), parts: new Set([...known?.parts ?? [], ...parts].slice(0, MAXIMUM_PARTS_PER_END)) })
      limitSize(ends, MAXIMUM_ENDS)
    },
    list: (service, readSoundAt) => listRecent(service).map(({ server, at, parts }) => ({ server, at, parts: new Set([...parts].filter((part) => readSoundAt(part) <= at)) })),
    size: () => [...endsByService.keys()].reduce((sum, service) => sum + listRecent(service).length, 0)
  }
}
