/**
 * Keeps on the platform at which software versions of a service streams may have begun
 * that can still be taken up. An entry is written before such a stream begins at a server of
 * the version, and removed long after its last server has left. So a read of the register
 * proves which versions there are, also to a process that knows nothing of the past, and
 * at a node whose list of backend servers is late.
 */
import { containRead } from '../_lib/containRead.js'
import { createFreshRead } from '../_lib/createFreshRead.js'
import { createRecentRead } from '../_lib/createRecentRead.js'
import { describeSourceError } from '../../decisions/describeSourceError/index.js'
import { computeSha256, failure, success } from '../../kernel/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, ConditionalWrite, Logger, RegisteredVersion, Result, ServiceVersion, SourceError, StoredVersion, VersionStore } from '../../types/index.js'

export type VersionEntry = RegisteredVersion & Pick<StoredVersion, 'name' | 'revision'>

export type VersionRegister = {
  /** Enters the versions before streams that may be resumed begin at them; resolves with whether all of them are in the register. */
  readonly enter: (versions: readonly ServiceVersion[]) => Promise<boolean>
  /** Reads the register; the read begins after the call. */
  readonly read: () => Promise<Result<readonly VersionEntry[], SourceError>>
  /** The entries as last read; `undefined` before the first read. */
  readonly lastRead: () => readonly VersionEntry[] | undefined
  /** States that no server of the version is left, or that one is there again; resolves with the entry's new revision if it was written. */
  readonly setEnding: (entry: VersionEntry, isEnding: boolean) => Promise<number | undefined>
  /** Removes the entry unless it has changed since. */
  readonly remove: (entry: VersionEntry) => Promise<void>
}

export type VersionRegisterDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly logger: Pick<Logger, 'info' | 'warn'>
  /** Omitted where the platform keeps none: then nothing is proved, and no stream waits for it. */
  readonly store?: VersionStore | undefined
}

/** Other nodes write the same entries at the same moment; each conflict is settled by one more read. */
const MAXIMUM_ATTEMPTS = 4
const NAME_LENGTH = 24
/** At most one line about failed calls in this time, in milliseconds. */
const LOG_INTERVAL_MS = 1_000

const isSameVersion = (one: ServiceVersion, other: ServiceVersion): boolean => one.service === other.service && one.softwareVersion === other.softwareVersion

/** Services and versions may have any characters, names of objects may not. */
const formatName = ({ service, softwareVersion }: ServiceVersion): string => computeSha256(JSON.stringify([service, softwareVersion])).slice(0, NAME_LENGTH)

/** Objects of other writers, whose content doesn't fit their name, state nothing. */
const toEntries = (stored: readonly StoredVersion[]): readonly VersionEntry[] =>
  stored.flatMap(({ name, revision, version }) => version === undefined || formatName(version) !== name ? [] : [{ ...version, name, revision }])

/**
 * Creates the register.
 *
 * @param dependencies - Clock, log and the platform's store.
 * @returns The service for the kernel.
 *
 * @example
 * const { api } = createVersionRegister({ clock, logger, store })
 * await api.enter([{ service: 'engines', softwareVersion: 'v2' }]) // => true
 */
export const createVersionRegister = ({ clock, logger, store }: VersionRegisterDependencies): RunningService<VersionRegister> => {
  let entries: readonly VersionEntry[] | undefined
  let loggedAt = -Infinity

  const logFailure = (call: string, error: SourceError, version?: ServiceVersion): void => {
    if (clock.now() - loggedAt < LOG_INTERVAL_MS) return
    loggedAt = clock.now()
    logger.warn('software versions not registered', { call, service: version?.service, softwareVersion: version?.softwareVersion, reason: describeSourceError(error) })
  }

  const { startRead: readStored, recent } = createRecentRead(clock, createFreshRead(async (): Promise<Result<readonly StoredVersion[], SourceError>> => {
    if (store === undefined) return failure({ kind: 'unavailable', message: 'the platform keeps no register of software versions' })
    const listed = await containRead(store.list)
    if (!listed.ok) logFailure('list', listed.error)
    else entries = toEntries(listed.value)
    return listed
  }))

  const read = async (): Promise<Result<readonly VersionEntry[], SourceError>> => {
    const stored = await readStored()
    return stored.ok ? success(toEntries(stored.value)) : stored
  }

  const settle = async (call: string, version: ServiceVersion, write: () => Promise<Result<ConditionalWrite, SourceError>>): Promise<number | undefined> => {
    recent.forget()
    const written = await containRead(write)
    if (!written.ok) logFailure(call, written.error, version)
    return written.ok && written.value.kind === 'written' ? written.value.revision : undefined
  }

  const setEnding: VersionRegister['setEnding'] = async ({ name, revision, service, softwareVersion }, isEnding) => {
    if (store === undefined) return undefined
    const written = await settle('update', { service, softwareVersion }, () => store.update(name, { service, softwareVersion, isEnding }, revision))
    if (written === undefined) return undefined
    logger.info('software version registered', { service, softwareVersion, isEnding })
    entries = entries?.map((entry) => entry.name === name ? { ...entry, isEnding, revision: written } : entry)
    return written
  }

  /** Writes the entry of a version that has none; an object of another writer in its place is replaced. */
  const create = async ({ service, softwareVersion }: ServiceVersion, inItsPlace: StoredVersion | undefined): Promise<boolean> => {
    if (store === undefined) return false
    const version = { service, softwareVersion, isEnding: false }
    const name = formatName(version)
    const isWritten = await settle('create', version, () => inItsPlace === undefined ? store.create(name, version) : store.update(name, version, inItsPlace.revision)) !== undefined
    if (isWritten) logger.info('software version registered', version)
    return isWritten
  }

  /** Enters one version; `false` when it must be looked at again. */
  const enterOne = async (version: ServiceVersion, stored: readonly StoredVersion[]): Promise<boolean> => {
    const entry = toEntries(stored).find((one) => isSameVersion(one, version))
    if (entry === undefined) return await create(version, stored.find(({ name }) => name === formatName(version)))
    return !entry.isEnding || await setEnding(entry, false) !== undefined
  }

  const enter: VersionRegister['enter'] = async (versions) => {
    if (store === undefined || versions.length === 0) return true
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      // Versions that a read of the last moments has are safe; the first write finds out what it lacks.
      const stored = attempt === 0 ? await recent.read() : await readStored()
      if (!stored.ok) return false
      const entered = await Promise.all(versions.map((version) => enterOne(version, stored.value)))
      if (entered.every(Boolean)) return true
    }
    return false
  }

  return {
    api: {
      enter,
      read,
      lastRead: () => entries,
      setEnding,
      remove: async (entry) => {
        if (store === undefined) return
        recent.forget()
        const removed = await containRead(() => store.remove(entry.name, entry.revision))
        if (!removed.ok) logFailure('remove', removed.error, entry)
        else logger.info('software version no longer registered', { service: entry.service, softwareVersion: entry.softwareVersion, outcome: removed.value })
      }
    }
  }
}
