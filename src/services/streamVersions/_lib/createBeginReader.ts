/** Finds in the platform's store at which software version a stream began. One read serves all that wait for it. */
import { containRead } from '../../_lib/containRead.js'
import { describeSourceError } from '../../../decisions/describeSourceError/index.js'
import { SHORT_ID_CHARACTERS, shortenId } from '../../../hashing/index.js'
import type { Clock, Logger, StreamBeginRecord, StreamBeginStore, Timer } from '../../../types/index.js'

export type BeginReader = {
  readonly find: (service: string, requestId: string) => Promise<string | undefined>
  readonly stop: () => void
}

export type BeginReaderDependencies = {
  readonly clock: Pick<Clock, 'now' | 'setTimer'>
  readonly logger: Pick<Logger, 'info' | 'warn'>
  readonly store: Pick<StreamBeginStore, 'list'>
}

type Stream = { readonly service: string, readonly id: string }

type Search = Stream & { readonly resolve: (version: string | undefined) => void }

/** Time from the start of a read to that of the next one, in milliseconds. */
const READ_INTERVAL_MS = 500
/** A stream that is sent again before its first event may get another version, so that what was read counts for a short time. */
const READ_LIFETIME_MS = 1_000

/** Whether one of the ids is this one; it may also be found across two others. */
const hasId = (ids: string, id: string): boolean => {
  let found = ids.indexOf(id)
  while (found >= 0 && found % SHORT_ID_CHARACTERS !== 0) found = ids.indexOf(id, found + 1)
  return found >= 0
}

/** The versions of which there are records. An index of them all would hold up the process for a third of a second at 300,000 records; the search takes 2 ms. */
const listVersions = (records: readonly StreamBeginRecord[], { service, id }: Stream): ReadonlySet<string> =>
  new Set(records.filter((record) => record.service === service && hasId(record.ids, id)).map(({ softwareVersion }) => softwareVersion))

/** `undefined` for a stream with records of several versions: nothing says which is the last. */
const selectVersion = (versions: ReadonlySet<string>): string | undefined => versions.size === 1 ? [...versions][0] : undefined

/** Creates the reader; it makes no call until something is looked for. */
export const createBeginReader = ({ clock, logger, store }: BeginReaderDependencies): BeginReader => {
  let searches: readonly Search[] = []
  let records: readonly StreamBeginRecord[] = []
  let startedAt = -Infinity
  let isReading = false
  let isFailing = false
  let nextRead: Timer | undefined
  let expiry: Timer | undefined

  const forget = (): void => { records = [] }

  const keepRecords = (read: readonly StreamBeginRecord[]): void => {
    records = read
    expiry?.cancel()
    expiry = clock.setTimer(startedAt + READ_LIFETIME_MS - clock.now(), forget)
  }

  const recordOutcome = (reason: string | undefined): void => {
    if (reason !== undefined && !isFailing) logger.warn('stream begins not read', { reason })
    if (reason === undefined && isFailing) logger.info('stream begins read', {})
    isFailing = reason !== undefined
  }

  /** Ends the searches that are answered; one that began during the read may have been written meanwhile, and waits for the next. */
  const answer = (before: ReadonlySet<Search>): void => {
    searches = searches.filter((search) => {
      const versions = listVersions(records, search)
      if (versions.size === 0 && !before.has(search)) return true
      search.resolve(selectVersion(versions))
      return false
    })
  }

  const read = async (): Promise<void> => {
    nextRead = undefined
    isReading = true
    startedAt = clock.now()
    const before = new Set(searches)
    const listed = await containRead(store.list)
    isReading = false
    recordOutcome(listed.ok ? undefined : describeSourceError(listed.error))
    if (listed.ok) keepRecords(listed.value.flatMap((batch) => batch.records))
    answer(before)
    scheduleRead()
  }

  const scheduleRead = (): void => {
    if (searches.length > 0 && !isReading) nextRead ??= clock.setTimer(startedAt + READ_INTERVAL_MS - clock.now(), read)
  }

  return {
    find: (service, requestId) => {
      const stream = { service, id: shortenId(requestId) }
      const versions = listVersions(records, stream)
      if (versions.size > 0) return Promise.resolve(selectVersion(versions))
      return new Promise((resolve) => {
        searches = [...searches, { ...stream, resolve }]
        scheduleRead()
      })
    },
    stop: () => {
      nextRead?.cancel()
      expiry?.cancel()
      for (const { resolve } of searches) resolve(undefined)
      searches = []
    }
  }
}
