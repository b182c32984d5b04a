/**
 * Reads the quarantined parts in the platform's store, and writes this node's there. The
 * store lasts beyond the processes of the fleet, and joins nodes that don't reach each other.
 * It is read at the start, and followed only while there may be something to follow: else
 * its load would grow with the fleet for nothing.
 */
import { createSourceFollower, type SourceReading } from '../../_lib/createSourceFollower.js'
import type { QuarantineEntry, QuarantineTable } from './createQuarantineTable.js'
import { describeSourceError } from '../../../decisions/describeSourceError/index.js'
import { success } from '../../../kernel/index.js'
import type { Clock, Logger, QuarantinedPart, QuarantineStore, SourceError, StoredQuarantine } from '../../../types/index.js'

export type StoredQuarantines = {
  readonly start: () => void
  readonly stop: () => void
  /** Follows the store again if that is wanted now. */
  readonly update: () => void
  /** Creates the object of a part, unless it exists. */
  readonly create: (entry: QuarantineEntry) => Promise<void>
  /** Writes the servers of a part that its object lacks. */
  readonly addServers: (entry: QuarantineEntry) => Promise<void>
  /** Counts one more trial, unless another node has changed the object meanwhile; resolves with whether it did. */
  readonly claimTrial: (entry: QuarantineEntry) => Promise<boolean>
  readonly remove: (entry: QuarantineEntry) => Promise<void>
}

export type StoredQuarantinesDependencies = {
  readonly clock: Clock
  readonly logger: Pick<Logger, 'info' | 'warn'>
  readonly store: QuarantineStore
  readonly table: QuarantineTable
  /** Whether changes in the store may concern this node now. */
  readonly isWanted: () => boolean
  /** An object was read. */
  readonly onStored: (part: QuarantinedPart, stored: StoredQuarantine) => void
  /** An object is gone. */
  readonly onRemoved: (entry: QuarantineEntry) => void
}

/** One call in this time while nothing changes; peers tell of changes as well. */
const WATCH_WAIT_MS = 20_000
const RETRY_MS = 1_000
const MAXIMUM_REMOVALS = 3

/** Creates the follower; it runs from its start to its stop. */
export const createStoredQuarantines = ({ clock, logger, store, table, isWanted, onStored, onRemoved }: StoredQuarantinesDependencies): StoredQuarantines => {
  let revision = 0
  let isKnown = false
  let resume: (() => void) | undefined

  const pause = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

  const apply = (stored: StoredQuarantine): void => { if (stored.part !== undefined) onStored(stored.part, stored) }

  const removeByName = (name: string): void => {
    const entry = table.findByName(name)
    if (entry !== undefined) onRemoved(entry)
  }

  const replaceAll = (entries: readonly StoredQuarantine[]): void => {
    isKnown = true
    const names = new Set(entries.map(({ name }) => name))
    for (const entry of table.list()) {
      if (names.has(entry.name)) continue
      if (entry.revision === undefined) create(entry)
      else onRemoved(entry)
    }
    entries.forEach(apply)
  }

  const readAll = async (): Promise<SourceReading> => {
    const result = await store.list()
    if (!result.ok) return result
    return success(() => {
      revision = result.value.revision
      replaceAll(result.value.entries)
    })
  }

  const waitUntilWanted = (): Promise<void> => new Promise((resolve) => { resume = resolve })

  const watch = async (): Promise<SourceReading> => {
    if (!isWanted()) {
      await waitUntilWanted()
      return await readAll()
    }
    const result = await store.watch(revision, WATCH_WAIT_MS)
    if (!result.ok) return result
    return success(() => {
      revision = result.value.revision
      for (const change of result.value.changes) {
        if (change.isRemoved) removeByName(change.name)
        else apply(change)
      }
    })
  }

  const follower = createSourceFollower(clock, {
    readAll,
    watch,
    isKnown: () => isKnown,
    onReached: () => logger.info('quarantines reached', { revision }),
    onLost: (reason) => logger.warn('quarantines lost', { reason, revision }),
    onHistoryGone: () => logger.info('quarantine history gone', { revision })
  }, { retryMs: RETRY_MS })

  const logFailure = (call: string, { service, part }: QuarantineEntry, error: SourceError): void =>
    logger.warn('quarantine not written', { call, service, part, reason: describeSourceError(error) })

  const toPart = ({ service, part, servers, endsAtFirst, trials }: QuarantineEntry): QuarantinedPart => ({ service, part, servers, endsAtFirst, trials })

  const readOne = async (name: string): Promise<void> => {
    const listed = await store.list()
    const found = listed.ok ? listed.value.entries.find((stored) => stored.name === name) : undefined
    if (found !== undefined) apply(found)
  }

  const create: StoredQuarantines['create'] = async (entry) => {
    const result = await store.create(entry.name, toPart(entry))
    if (!result.ok) return logFailure('create', entry, result.error)
    if (result.value.kind === 'written') return onStored(toPart(entry), { name: entry.name, revision: result.value.revision })
    // Another node created it, and the watch tells; one that was left from an earlier quarantine has no change to tell.
    await pause(RETRY_MS)
    if (table.find(entry) !== undefined && table.find(entry)?.revision === undefined) await readOne(entry.name)
  }

  /** Replaces the object if it is the one that this node has read; resolves with the new revision, if it was written. */
  const update = async (entry: QuarantineEntry, part: QuarantinedPart, call: string): Promise<number | undefined> => {
    if (entry.revision === undefined) return undefined
    const result = await store.update(entry.name, part, entry.revision)
    if (!result.ok) logFailure(call, entry, result.error)
    else if (result.value.kind === 'written') return result.value.revision
    return undefined
  }

  return {
    start: follower.start,
    stop: follower.stop,
    update: () => {
      if (resume === undefined || !isWanted()) return
      resume()
      resume = undefined
    },
    create,
    addServers: async (entry) => {
      const written = await update(entry, toPart(entry), 'addServers')
      if (written !== undefined) onStored(toPart(entry), { name: entry.name, revision: written })
    },
    claimTrial: async (entry) => {
      const part = { ...toPart(entry), trials: entry.trials + 1 }
      const written = await update(entry, part, 'claimTrial')
      if (written !== undefined) onStored(part, { name: entry.name, revision: written })
      return written !== undefined
    },
    remove: async (entry) => {
      for (let attempt = 0; attempt < MAXIMUM_REMOVALS; attempt++) {
        const result = await store.remove(entry.name)
        if (result.ok) return
        logFailure('remove', entry, result.error)
        await pause(RETRY_MS)
      }
    }
  }
}
