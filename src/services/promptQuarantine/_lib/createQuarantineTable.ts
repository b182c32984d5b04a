/** Keeps the quarantined prompt parts as this node knows them, and logs each change with whose evidence it rests on. */
import { formatPartKey } from './formatPartKey.js'
import { computeSha256 } from '../../../kernel/index.js'
import type { Clock, Logger, Metrics, PromptPartKey, QuarantinedPart } from '../../../types/index.js'

export type QuarantineEntry = QuarantinedPart & {
  /** Name of its object in the store. */
  readonly name: string
  /** Monotonic milliseconds at which this node learnt of the last trial, or of the part. */
  readonly triedAt: number
  /** Monotonic milliseconds at which the last server ended. */
  readonly lastEndAt: number
  /** Revision of its object in the store; omitted until this node has read it. */
  readonly revision?: number
  /** Who concluded it. */
  readonly source: QuarantineSource
}

/** `own`: this node joined the evidence; `store`: read there; otherwise the id of the node that told. */
export type QuarantineSource = string

export type Adoption = { readonly lastEndAt: number, readonly source: QuarantineSource, readonly revision?: number }

export type QuarantineTable = {
  readonly find: (key: PromptPartKey) => QuarantineEntry | undefined
  readonly findByName: (name: string) => QuarantineEntry | undefined
  readonly list: () => readonly QuarantineEntry[]
  readonly size: () => number
  /** Adds a part, or merges what is known of it: all servers, the most trials, the newest revision. */
  readonly adopt: (part: QuarantinedPart, adoption: Adoption) => QuarantineEntry
  readonly release: (entry: QuarantineEntry, reason: string) => void
}

const NAME_LENGTH = 32

/** Name of the object of a part: both halves of the key come from outside, and a name must be one path segment. */
const formatName = (key: PromptPartKey): string => computeSha256(formatPartKey(key)).slice(0, NAME_LENGTH)

/** Describes an entry in log lines. */
export const describeQuarantine = ({ service, part, servers, trials, source }: QuarantineEntry) =>
  ({ service, part, endedServers: servers.join(' '), trials, evidenceOf: source })

/** Creates the table, empty. */
export const createQuarantineTable = ({ clock, logger, metrics }: { readonly clock: Pick<Clock, 'now'>, readonly logger: Pick<Logger, 'warn' | 'info'>, readonly metrics: Pick<Metrics, 'count'> }): QuarantineTable => {
  const entries = new Map<string, QuarantineEntry>()

  const merge = (known: QuarantineEntry, { servers, endsAtFirst, trials }: QuarantinedPart, { lastEndAt, revision }: Adoption): QuarantineEntry => {
    const allServers = [...new Set([...known.servers, ...servers])]
    const newest = Math.max(revision ?? 0, known.revision ?? 0)
    return {
      ...known,
      servers: allServers,
      endsAtFirst: Math.max(endsAtFirst, known.endsAtFirst),
      trials: Math.max(trials, known.trials),
      triedAt: trials > known.trials ? clock.now() : known.triedAt,
      lastEndAt: Math.max(lastEndAt, known.lastEndAt),
      ...(newest > 0 ? { revision: newest } : {})
    }
  }

  return {
    find: (key) => entries.size === 0 ? undefined : entries.get(formatPartKey(key)),
    findByName: (name) => [...entries.values()].find((entry) => entry.name === name),
    list: () => [...entries.values()],
    size: () => entries.size,
    adopt: (part, adoption) => {
      const key = formatPartKey(part)
      const known = entries.get(key)
      const { service, part: id, servers, endsAtFirst, trials } = part
      const entry = known === undefined
        ? { service, part: id, servers, endsAtFirst, trials, ...adoption, name: formatName(part), triedAt: clock.now() }
        : merge(known, part, adoption)
      entries.set(key, entry)
      if (known === undefined) {
        metrics.count('gateway_quarantine', { event: 'begun' })
        logger.warn('prompt part quarantined', describeQuarantine(entry))
      }
      return entry
    },
    release: (entry, reason) => {
      if (!entries.delete(formatPartKey(entry))) return
      metrics.count('gateway_quarantine', { event: 'ended' })
      logger.info('prompt part released', { ...describeQuarantine(entry), reason })
    }
  }
}
