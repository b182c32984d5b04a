/**
 * Changes the configuration on behalf of an operator: plans what a sheet would
 * change, and applies it as the next generation.
 *
 * An apply writes the audit entry, then the chunks, then the root. Only the
 * conditional write of the root accepts the sheet; a failure before it leaves the
 * configuration unchanged.
 */
import { compareSheets } from '../../decisions/compareSheets/index.js'
import { computeBackoff } from '../../decisions/computeBackoff/index.js'
import { decodeRoot } from '../../decisions/decodeRoot/index.js'
import { serializeSheet } from '../../decisions/serializeSheet/index.js'
import { splitSheetIntoChunks } from '../../decisions/splitSheetIntoChunks/index.js'
import { summarizeChanges } from '../../decisions/summarizeChanges/index.js'
import { failure, success } from '../../kernel/index.js'
import { createChunkStore, type ChunkVersions } from './_lib/createChunkStore.js'
import { ROOT_NAME, writeRoot, type RootWriteOutcome } from './_lib/writeRoot.js'
import type { AppliedGeneration, AuditEntry, Clock, ConfigurationRoot, ObjectVersion, Platform, RandomSource, Result, Sheet, SheetChange } from '../../types/index.js'
import type { AuditTrail } from '../auditTrail/index.js'

/** The generation at the platform, with its sheet and the object version that an update must state. */
export type StoredConfiguration = {
  readonly root: ConfigurationRoot
  readonly version: ObjectVersion
  readonly sheet: Sheet
}

export type StoreError = { readonly kind: 'unavailable', readonly message: string } | { readonly kind: 'damaged', readonly message: string }

export type SheetPlan = {
  /** Generation on which the plan is based; 0 when no sheet has been applied. */
  readonly plannedAgainst: number
  readonly changes: readonly SheetChange[]
  readonly inForce?: AppliedGeneration
}

export type SheetApplication = {
  readonly sheet: Sheet
  readonly plannedAgainst: number
  readonly appliedBy: string
  readonly applyId: string
  /** For the audit trail, for example `sheet apply`. */
  readonly action: string
  /** Highest generation in force on any router. A platform restored from a backup may lag behind the fleet. */
  readonly fleetGeneration?: number
}

export type ApplyOutcome =
  | { readonly kind: 'applied', readonly generation: number, readonly changes: readonly SheetChange[], readonly replacedBy?: AppliedGeneration, readonly isAuditSettled: boolean }
  | { readonly kind: 'unchanged', readonly generation: number }
  /** Certainly not accepted: another operator's change is in force. `differences` are the changes that this sheet would make now. */
  | { readonly kind: 'conflict', readonly inForce?: AppliedGeneration, readonly differences?: readonly SheetChange[] }
  /** It may or may not have been accepted. */
  | { readonly kind: 'outcomeUnknown', readonly applyId: string, readonly generation: number, readonly message: string }
  /** Certainly not accepted. */
  | { readonly kind: 'unavailable', readonly message: string }
  /** Certainly not accepted: the configuration at the platform cannot be decoded. */
  | { readonly kind: 'damaged', readonly message: string }

export type ConfigurationStore = {
  /** `undefined` when no sheet has ever been applied. */
  readonly readCurrent: () => Promise<Result<StoredConfiguration | undefined, StoreError>>
  readonly readRoot: () => Promise<Result<{ readonly root: ConfigurationRoot, readonly version: ObjectVersion } | undefined, StoreError>>
  readonly planSheet: (sheet: Sheet) => Promise<Result<SheetPlan, StoreError>>
  readonly applySheet: (application: SheetApplication) => Promise<ApplyOutcome>
}

export type ConfigurationStoreDependencies = {
  readonly platform: Platform
  readonly auditTrail: AuditTrail
  readonly clock: Clock
  readonly random: RandomSource
  /** SHA-256 as hexadecimal digits. */
  readonly hashContent: (content: string | Uint8Array) => string
}

/** Long enough to determine the outcome after a lost reply, and short because every node fetches the root at each change. */
const MAXIMUM_HISTORY = 16
const RETRY = { minimumBackoffMs: 200, maximumBackoffMs: 3_000 }

type PreparedApply = { readonly root: ConfigurationRoot, readonly listed: ChunkVersions, readonly entry: AuditEntry, readonly changes: readonly SheetChange[] }

/**
 * Creates the store through which operators read and change the configuration.
 *
 * @param dependencies - Platform, audit trail, clock, random source and hash.
 * @returns Functions to read, plan and apply.
 *
 * @example
 * const store = createConfigurationStore({ platform, auditTrail, clock, random, hashContent: computeSha256 })
 * const plan = await store.planSheet(sheet)
 * if (plan.ok) await store.applySheet({ sheet, plannedAgainst: plan.value.plannedAgainst, appliedBy: 'jana', applyId: random.nextId(), action: 'sheet apply' })
 */
export const createConfigurationStore = (dependencies: ConfigurationStoreDependencies): ConfigurationStore => {
  const { platform, auditTrail, clock, random, hashContent } = dependencies
  const waitToRetry = (failures: number): Promise<void> => new Promise((resolve) => {
    clock.setTimer(computeBackoff(failures, RETRY, random.next()), resolve)
  })
  const chunkStore = createChunkStore(platform, hashContent, waitToRetry)

  const readRoot: ConfigurationStore['readRoot'] = async () => {
    const object = await platform.readObject(ROOT_NAME)
    if (!object.ok) return failure({ kind: 'unavailable', message: 'message' in object.error ? object.error.message : object.error.kind })
    if (object.value === undefined) return success(undefined)
    const root = decodeRoot(object.value.bytes)
    return root.ok ? success({ root: root.value, version: object.value.version }) : failure({ kind: 'damaged', message: root.error.message })
  }

  const readCurrent: ConfigurationStore['readCurrent'] = async () => {
    const found = await readRoot()
    if (!found.ok || found.value === undefined) return found as Result<undefined, StoreError>
    const sheet = await chunkStore.readSheet(found.value.root)
    if (sheet.ok) return success({ ...found.value, sheet: sheet.value })
    return failure({ kind: sheet.error.startsWith('platform') ? 'unavailable' : 'damaged', message: sheet.error })
  }

  const describeConflict = async (winner?: ConfigurationRoot, sheet?: Sheet): Promise<ApplyOutcome> => {
    if (winner === undefined) return { kind: 'conflict' }
    const inForce = toApplied(winner)
    const other = await chunkStore.readSheet(winner)
    if (!other.ok || sheet === undefined) return { kind: 'conflict', inForce }
    return { kind: 'conflict', inForce, differences: compareSheets(other.value, sheet) }
  }

  const prepare = (application: SheetApplication, current: StoredConfiguration | undefined, listed: ChunkVersions): PreparedApply & { readonly chunks: ReturnType<typeof splitSheetIntoChunks> } => {
    const { sheet, appliedBy, applyId } = application
    const generation = Math.max(current?.root.generation ?? 0, application.fleetGeneration ?? 0) + 1
    const chunks = splitSheetIntoChunks(sheet, hashContent, current?.root.chunks.length)
    const applied = { generation, applyId, appliedBy, appliedAt: clock.wallTime(), sheetHash: hashContent(serializeSheet(sheet)) }
    const history = current === undefined ? [] : [toApplied(current.root), ...current.root.history].slice(0, MAXIMUM_HISTORY)
    const changes = compareSheets(current?.sheet, sheet)
    return { chunks, listed, changes, root: { ...applied, chunks: chunks.map(({ hash }) => hash), history }, entry: toEntry(application, applied, changes) }
  }

  const removeObsolete = async ({ root, listed }: PreparedApply, previous: ConfigurationRoot | undefined): Promise<void> => {
    await chunkStore.sweep(listed, [root, previous])
    await auditTrail.prune()
  }

  type RootWriteHandlers = { readonly [Kind in RootWriteOutcome['kind']]: (write: Extract<RootWriteOutcome, { kind: Kind }>, prepared: PreparedApply, current: StoredConfiguration | undefined, sheet: Sheet) => Promise<ApplyOutcome> }

  const handlers: RootWriteHandlers = {
    accepted: async ({ replacedBy }, prepared, current) => {
      const { generation } = prepared.root
      const settled = await auditTrail.settle(prepared.entry, 'accepted', replacedBy === undefined ? undefined : `replaced since by generation ${replacedBy.generation}`)
      if (replacedBy === undefined) await removeObsolete(prepared, current?.root)
      return { kind: 'applied', generation, changes: prepared.changes, isAuditSettled: settled.ok, ...(replacedBy === undefined ? {} : { replacedBy: toApplied(replacedBy) }) }
    },
    lost: async ({ winner }, prepared, _, sheet) => {
      await auditTrail.settle(prepared.entry, 'refused', winner === undefined ? 'another change was accepted first' : `generation ${winner.generation} of ${winner.appliedBy} was accepted first`)
      return describeConflict(winner, sheet)
    },
    notWritten: async ({ message }, prepared) => {
      await auditTrail.settle(prepared.entry, 'refused', `the platform did not take the root: ${message}`)
      return { kind: 'unavailable', message }
    },
    unknown: async ({ message }, prepared) => {
      await auditTrail.settle(prepared.entry, 'attempted', `the reply was lost: ${message}`)
      return { kind: 'outcomeUnknown', applyId: prepared.root.applyId, generation: prepared.root.generation, message }
    }
  }

  const writePrepared = async (application: SheetApplication, current: StoredConfiguration | undefined): Promise<ApplyOutcome> => {
    // The chunks are listed after the root is read and before it is written; the guard of the sweep depends on this order.
    const listed = await chunkStore.list()
    if (!listed.ok) return { kind: 'unavailable', message: `the chunks could not be listed: ${listed.error.kind}` }
    const prepared = prepare(application, current, listed.value)
    if (current !== undefined) await auditTrail.settleAbandoned(current.root)
    const begun = await auditTrail.begin(prepared.entry)
    if (!begun.ok) return { kind: 'unavailable', message: `the audit entry could not be written: ${begun.error.kind}` }
    const chunks = await chunkStore.write(prepared.chunks, current?.root, listed.value)
    if (!chunks.ok) return handlers.notWritten({ kind: 'notWritten', message: `a chunk could not be written: ${chunks.error.kind}` }, prepared, current, application.sheet)
    const write = await writeRoot(platform, prepared.root, current?.version, waitToRetry)
    return handlers[write.kind](write as never, prepared, current, application.sheet)
  }

  const refuseOutdated = async (application: SheetApplication, current: StoredConfiguration | undefined): Promise<ApplyOutcome> => {
    const generation = current?.root.generation ?? 0
    const { entry } = prepare(application, current, new Map())
    const reason = `planned against generation ${application.plannedAgainst}, but generation ${generation} is in force`
    await auditTrail.begin({ ...entry, outcome: 'refused', reason })
    if (current === undefined) return { kind: 'conflict' }
    return { kind: 'conflict', inForce: toApplied(current.root), differences: compareSheets(current.sheet, application.sheet) }
  }

  return {
    readRoot,
    readCurrent,
    planSheet: async (sheet) => {
      const current = await readCurrent()
      if (!current.ok) return current
      if (current.value === undefined) return success({ plannedAgainst: 0, changes: compareSheets(undefined, sheet) })
      const { root, sheet: before } = current.value
      return success({ plannedAgainst: root.generation, changes: compareSheets(before, sheet), inForce: toApplied(root) })
    },
    applySheet: async (application) => {
      const read = await readCurrent()
      if (!read.ok) return read.error
      const current = read.value
      const earlier = findEarlierApply(application.applyId, current?.root)
      if (earlier !== undefined) return earlier
      if ((current?.root.generation ?? 0) !== application.plannedAgainst) return refuseOutdated(application, current)
      const isBehindFleet = (application.fleetGeneration ?? 0) > application.plannedAgainst
      if (current !== undefined && !isBehindFleet && compareSheets(current.sheet, application.sheet).length === 0) return { kind: 'unchanged', generation: current.root.generation }
      return writePrepared(application, current)
    }
  }
}

/** Finds an earlier apply with the same id, so that an operator's retry after a lost answer is not applied twice. */
const findEarlierApply = (applyId: string, root?: ConfigurationRoot): ApplyOutcome | undefined => {
  const applied = root === undefined ? undefined : [root, ...root.history].find((candidate) => candidate.applyId === applyId)
  if (applied === undefined || root === undefined) return undefined
  return { kind: 'applied', generation: applied.generation, changes: [], isAuditSettled: true, ...(applied.generation === root.generation ? {} : { replacedBy: toApplied(root) }) }
}

const toApplied = ({ generation, applyId, appliedBy, appliedAt, sheetHash }: AppliedGeneration): AppliedGeneration => ({ generation, applyId, appliedBy, appliedAt, sheetHash })

const toEntry = (application: SheetApplication, applied: AppliedGeneration, changes: readonly SheetChange[]): AuditEntry => ({
  applyId: applied.applyId,
  operator: applied.appliedBy,
  action: application.action,
  at: applied.appliedAt,
  generationFrom: application.plannedAgainst,
  generationTo: applied.generation,
  sheetHash: applied.sheetHash,
  changes: summarizeChanges(changes),
  changeCount: changes.length,
  outcome: 'attempted'
})
