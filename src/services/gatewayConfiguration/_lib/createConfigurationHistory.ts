/**
 * Keeps the configurations that were recently in force on this node and computes
 * the update for a peer that has one of them. The update is computed once for
 * all peers that have the same revision.
 */
import { compareRecords } from '../../../decisions/compareRecords/index.js'
import { packRecords } from './packRecords.js'
import type { ConfigurationUpdate, SourcedConfiguration } from '../../../types/index.js'

export type ConfigurationHistory = {
  readonly add: (sourced: SourcedConfiguration) => void
  readonly find: (revision: number) => SourcedConfiguration | undefined
  /** Returns the update from `revision` to the newest configuration; the complete one if `revision` is unknown on this node. */
  readonly getUpdateFrom: (revision: number) => ConfigurationUpdate | undefined
}

/** Number of configurations kept; they share the records that did not change. */
const MAXIMUM_CONFIGURATIONS = 32

export const createConfigurationHistory = (): ConfigurationHistory => {
  const byRevision = new Map<number, SourcedConfiguration>()
  const updatesByBase = new Map<number | undefined, ConfigurationUpdate>()
  let newest: SourcedConfiguration | undefined

  const createUpdate = (base: SourcedConfiguration | undefined, next: SourcedConfiguration): ConfigurationUpdate =>
    base === undefined
      ? { kind: 'whole', revision: next.revision, bytes: packRecords(next.records) }
      : { kind: 'change', revision: next.revision, base: base.revision, change: compareRecords(base.records, next.records) }

  return {
    add: (sourced) => {
      newest = sourced
      updatesByBase.clear()
      byRevision.delete(sourced.revision)
      byRevision.set(sourced.revision, sourced)
      for (const revision of [...byRevision.keys()].slice(0, -MAXIMUM_CONFIGURATIONS)) byRevision.delete(revision)
    },
    find: (revision) => byRevision.get(revision),
    getUpdateFrom: (revision) => {
      if (newest === undefined) return undefined
      const base = byRevision.get(revision)
      const known = updatesByBase.get(base?.revision)
      if (known !== undefined) return known
      const update = createUpdate(base, newest)
      updatesByBase.set(base?.revision, update)
      return update
    }
  }
}
