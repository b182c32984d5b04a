/**
 * The configurations that were lately in force here, and what a peer that
 * holds one of them lacks. It is worked out once for all peers that hold the same.
 */
import { compareRecords } from '../../../decisions/compareRecords/index.js'
import { packRecords } from './packRecords.js'
import type { ConfigurationNews, SourcedConfiguration } from '../../../types/index.js'

export type ConfigurationHistory = {
  readonly add: (sourced: SourcedConfiguration) => void
  readonly find: (revision: number) => SourcedConfiguration | undefined
  /** What a peer with the configuration of `revision` needs for the newest; all of it when that is unknown here. */
  readonly newsSince: (revision: number) => ConfigurationNews | undefined
}

/** Configurations kept; they share the records that did not change. */
const CONFIGURATIONS_KEPT = 32

export const createConfigurationHistory = (): ConfigurationHistory => {
  const byRevision = new Map<number, SourcedConfiguration>()
  const newsByBase = new Map<number | undefined, ConfigurationNews>()
  let newest: SourcedConfiguration | undefined

  const createNews = (base: SourcedConfiguration | undefined, next: SourcedConfiguration): ConfigurationNews =>
    base === undefined
      ? { kind: 'whole', revision: next.revision, bytes: packRecords(next.records) }
      : { kind: 'change', revision: next.revision, base: base.revision, change: compareRecords(base.records, next.records) }

  return {
    add: (sourced) => {
      newest = sourced
      newsByBase.clear()
      byRevision.delete(sourced.revision)
      byRevision.set(sourced.revision, sourced)
      for (const revision of [...byRevision.keys()].slice(0, -CONFIGURATIONS_KEPT)) byRevision.delete(revision)
    },
    find: (revision) => byRevision.get(revision),
    newsSince: (revision) => {
      if (newest === undefined) return undefined
      const base = byRevision.get(revision)
      const known = newsByBase.get(base?.revision)
      if (known !== undefined) return known
      const news = createNews(base, newest)
      newsByBase.set(base?.revision, news)
      return news
    }
  }
}
