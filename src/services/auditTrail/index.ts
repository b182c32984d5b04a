/**
 * The audit trail: one object per attempt to change the configuration, named
 * `audit/<generation, zero-padded>.<apply id>` after the generation that the
 * attempt would create. Names therefore sort by time, and two operators never
 * write the same object.
 */
import { z } from 'zod'
import { mapInBatches, success } from '../../kernel/index.js'
import type { AuditEntry, AuditOutcome, ConfigurationRoot, ObjectVersion, Platform, PlatformError, Result } from '../../types/index.js'

const PREFIX = 'audit/'
const GENERATION_DIGITS = 12
const MAXIMUM_ENTRIES = 5_000
const MAXIMUM_PRUNED_AT_ONCE = 100
const MAXIMUM_WRITE_ATTEMPTS = 3
const MAXIMUM_SETTLED_AT_ONCE = 20
const CONCURRENT_READS = 8

export type AuditListing = { readonly entries: readonly AuditEntry[], readonly unreadable: number }

export type AuditTrail = {
  /** Writes an entry before its change is attempted. On failure the change must not be attempted. */
  readonly begin: (entry: AuditEntry) => Promise<Result<undefined, PlatformError>>
  /** Records the outcome of an attempt. */
  readonly settle: (entry: AuditEntry, outcome: AuditOutcome, reason?: string) => Promise<Result<undefined, PlatformError>>
  /** Records the outcome of entries left as `attempted` up to the generation in force; its root shows which attempt was accepted. */
  readonly settleAbandoned: (root: ConfigurationRoot) => Promise<void>
  /** Deletes the oldest entries beyond the bound, a few at a time. */
  readonly prune: () => Promise<void>
  /** The latest entries, oldest first. */
  readonly read: (limit: number) => Promise<Result<AuditListing, PlatformError>>
}

const schema = z.object({
  applyId: z.string(),
  operator: z.string(),
  action: z.string(),
  at: z.number(),
  generationFrom: z.number(),
  generationTo: z.number(),
  sheetHash: z.string(),
  changes: z.array(z.object({ record: z.string(), name: z.string(), before: z.string().optional(), after: z.string().optional() })),
  changeCount: z.number(),
  outcome: z.enum(['attempted', 'accepted', 'refused', 'unknown']),
  reason: z.string().optional()
})

type NamedVersion = { readonly name: string, readonly version: ObjectVersion }

/**
 * Creates the audit trail.
 *
 * @param platform - The platform that stores the entries.
 * @param options - `maximumEntries`, the number of entries kept; 5,000 by default, three weeks at 240 changes a day.
 * @returns The audit trail.
 *
 * @example
 * const trail = createAuditTrail(platform)
 * await trail.read(20) // => { ok: true, value: { entries: [], unreadable: 0 } }
 */
export const createAuditTrail = (platform: Platform, options: { readonly maximumEntries?: number } = {}): AuditTrail => {
  const maximumEntries = options.maximumEntries ?? MAXIMUM_ENTRIES

  const list = async (after = ''): Promise<Result<readonly NamedVersion[], PlatformError>> => {
    const names: NamedVersion[] = []
    for (let next: string | undefined = after; next !== undefined;) {
      const page = await platform.listObjects(PREFIX, next === '' ? {} : { after: next })
      if (!page.ok) return page
      names.push(...page.value.objects)
      next = page.value.continueAfter
    }
    return success(names)
  }

  /** The name contains the unique apply id, so a conflict means that an earlier attempt of this write took effect. */
  const create = async (entry: AuditEntry): Promise<Result<undefined, PlatformError>> => {
    let written = await platform.createObject(nameEntry(entry), encode(entry))
    for (let attempts = 1; attempts < MAXIMUM_WRITE_ATTEMPTS && isUnknown(written); attempts += 1) written = await platform.createObject(nameEntry(entry), encode(entry))
    return written.ok || written.error.kind === 'conflict' ? success(undefined) : written
  }

  const replace = async (entry: AuditEntry): Promise<Result<undefined, PlatformError>> => {
    const found = await platform.readObject(nameEntry(entry))
    if (!found.ok) return found
    if (found.value === undefined) return create(entry)
    const written = await platform.updateObject(nameEntry(entry), encode(entry), found.value.version)
    return written.ok ? success(undefined) : written
  }

  const settle: AuditTrail['settle'] = async (entry, outcome, reason) => {
    const settled = { ...entry, outcome, ...(reason === undefined ? {} : { reason }) }
    let written = await replace(settled)
    for (let attempts = 1; attempts < MAXIMUM_WRITE_ATTEMPTS && !written.ok; attempts += 1) written = await replace(settled)
    return written
  }

  const readEntry = async (name: string): Promise<Result<AuditEntry | undefined, PlatformError>> => {
    const object = await platform.readObject(name)
    if (!object.ok) return object
    return success(object.value === undefined ? undefined : decode(object.value.bytes))
  }

  const settleFromRoot = async (name: string, root: ConfigurationRoot): Promise<void> => {
    const entry = await readEntry(name)
    if (!entry.ok || entry.value?.outcome !== 'attempted' || entry.value.generationTo > root.generation) return
    const won = [root, ...root.history].some(({ applyId }) => applyId === entry.value?.applyId)
    await (won ? settle(entry.value, 'accepted') : settle(entry.value, 'refused', 'another change took this generation'))
  }

  return {
    begin: create,
    settle,
    settleAbandoned: async (root) => {
      const previous = root.history[0]?.generation ?? 0
      const names = await list(`${PREFIX}${padGeneration(previous)}~`)
      if (!names.ok) return
      for (const { name } of names.value.slice(0, MAXIMUM_SETTLED_AT_ONCE)) await settleFromRoot(name, root)
    },
    prune: async () => {
      const names = await list()
      if (!names.ok) return
      const excess = Math.min(names.value.length - maximumEntries, MAXIMUM_PRUNED_AT_ONCE)
      for (const { name, version } of names.value.slice(0, Math.max(0, excess))) await platform.deleteObject(name, version)
    },
    read: async (limit) => {
      const names = await list()
      if (!names.ok) return names
      const read = await mapInBatches(names.value.slice(-limit), CONCURRENT_READS, ({ name }) => readEntry(name))
      const failed = read.find((entry) => !entry.ok)
      if (failed !== undefined && !failed.ok) return failed
      const entries = read.flatMap((entry) => entry.ok && entry.value !== undefined ? [entry.value] : [])
      return success({ entries, unreadable: read.length - entries.length })
    }
  }
}

const padGeneration = (generation: number): string => String(generation).padStart(GENERATION_DIGITS, '0')

const nameEntry = ({ generationTo, applyId }: AuditEntry): string => `${PREFIX}${padGeneration(generationTo)}.${applyId}`

const isUnknown = (written: Result<unknown, PlatformError>): boolean => !written.ok && written.error.kind === 'outcomeUnknown'

const encode = (entry: AuditEntry): Uint8Array => new TextEncoder().encode(JSON.stringify(entry))

const decode = (bytes: Uint8Array): AuditEntry | undefined => {
  try {
    return schema.parse(JSON.parse(new TextDecoder().decode(bytes))) as AuditEntry
  } catch {
    return undefined
  }
}
