/**
 * Registers the software versions of listed backend servers, each for itself. Only streams
 * that may be resumed wait for it; additions and removals don't.
 */
import { containStep } from '../../_lib/containStep.js'
import type { ThrownReport } from '../../_lib/containStep.js'
import { readSoftwareVersion } from '../../../decisions/readSoftwareVersion/index.js'
import type { BackendInstance, Clock, ServiceVersion, Timer } from '../../../types/index.js'

export type Registrations = {
  readonly isRegistered: (instance: BackendInstance) => boolean
  /** Registers the version of a server that is being listed, unless that is done or under way. */
  readonly enter: (instance: BackendInstance) => void
  /** Registers it if it is still marked after a while: the reader that listed it usually does, and tells; but it may be gone. */
  readonly enterIfStillMarked: (instance: BackendInstance) => void
  /** The list has changed: what no listed server has must be registered again before its next use. */
  readonly retainListed: () => void
  readonly stop: () => void
}

export type RegistrationsDependencies = {
  readonly clock: Pick<Clock, 'setTimer'>
  /** Registers versions; `undefined` where nothing is registered. */
  readonly enterVersions: ((versions: readonly ServiceVersion[]) => Promise<boolean>) | undefined
  readonly listInstances: () => Iterable<BackendInstance>
  /** The version of these listed servers is registered. */
  readonly onRegistered: (instances: readonly BackendInstance[]) => void
  /** Called with what a registration or its report throws; it is tried again. */
  readonly onThrown?: ThrownReport | undefined
}

/** Time after a registration that failed, in milliseconds; doubled after each further one up to the maximum: a store that refuses gets few calls. */
const FIRST_RETRY_MS = 200
const MAXIMUM_RETRY_MS = 1_600
/** Time that the reader has to register what it lists and to tell, in milliseconds. */
const READER_MS = 2_000
/** Far more nodes rely on readers than read: while the store refuses, each calls it at most this often, in milliseconds. */
const MAXIMUM_RELYING_RETRY_MS = 12_800

const toVersion = (instance: BackendInstance): ServiceVersion => ({ service: instance.service, softwareVersion: readSoftwareVersion(instance) })

const formatKey = (instance: BackendInstance): string => JSON.stringify([instance.service, readSoftwareVersion(instance)])

/** The entry with or without the mark that its version is not registered. */
export const markUnregistered = ({ isUnregistered, ...instance }: BackendInstance, isMarked: boolean): BackendInstance =>
  isMarked ? { ...instance, isUnregistered: isUnregistered ?? true } : instance

/** Creates the registrations of one list. */
export const createRegistrations = ({ clock, enterVersions, listInstances, onRegistered, onThrown }: RegistrationsDependencies): Registrations => {
  /** Versions that this process has registered: a peer's list proves no registration. */
  const registered = new Set<string>()
  const entering = new Set<string>()
  const timers = new Map<string, Timer>()
  const waiting = new Map<string, Timer>()

  const listOf = (key: string): readonly BackendInstance[] => [...listInstances()].filter((instance) => formatKey(instance) === key)

  const tryRegister = async (version: ServiceVersion, register: NonNullable<typeof enterVersions>): Promise<boolean> => {
    try {
      return await register([version])
    } catch (error) {
      onThrown?.(error)
      return false
    }
  }

  const reportRegistered = (key: string, instances: readonly BackendInstance[]): boolean => {
    let isReported = false
    registered.add(key)
    containStep(() => {
      onRegistered(instances)
      isReported = true
    }, onThrown)
    return isReported
  }

  const attempt = async (key: string, version: ServiceVersion, register: NonNullable<typeof enterVersions>, retryMs: number, maximumRetryMs: number): Promise<void> => {
    timers.delete(key)
    const isEntered = registered.has(key) || await tryRegister(version, register)
    const instances = listOf(key)
    if (instances.length > 0 && !(isEntered && reportRegistered(key, instances))) {
      timers.set(key, clock.setTimer(retryMs, () => { attempt(key, version, register, Math.min(2 * retryMs, maximumRetryMs), maximumRetryMs) }))
      return
    }
    entering.delete(key)
  }

  const enter = (instance: BackendInstance, maximumRetryMs: number): void => {
    const key = formatKey(instance)
    if (enterVersions === undefined || registered.has(key) || entering.has(key)) return
    entering.add(key)
    attempt(key, toVersion(instance), enterVersions, FIRST_RETRY_MS, maximumRetryMs)
  }

  return {
    isRegistered: (instance) => enterVersions === undefined || registered.has(formatKey(instance)),
    enter: (instance) => enter(instance, MAXIMUM_RETRY_MS),
    enterIfStillMarked: (instance) => {
      const key = formatKey(instance)
      if (waiting.has(key)) return
      waiting.set(key, clock.setTimer(READER_MS, () => {
        waiting.delete(key)
        const marked = listOf(key).find(({ isUnregistered }) => isUnregistered === true)
        if (marked !== undefined) enter(marked, MAXIMUM_RELYING_RETRY_MS)
      }))
    },
    retainListed: () => {
      if (registered.size === 0) return
      const listed = new Set([...listInstances()].map(formatKey))
      for (const key of registered) if (!listed.has(key)) registered.delete(key)
    },
    stop: () => { for (const timer of [...timers.values(), ...waiting.values()]) timer.cancel() }
  }
}
