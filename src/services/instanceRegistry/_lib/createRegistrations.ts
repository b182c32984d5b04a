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

  const attempt = async (key: string, version: ServiceVersion, register: NonNullable<typeof enterVersions>, retryMs: number): Promise<void> => {
    timers.delete(key)
    const isEntered = registered.has(key) || await tryRegister(version, register)
    const instances = listOf(key)
    if (instances.length > 0 && !(isEntered && reportRegistered(key, instances))) {
      timers.set(key, clock.setTimer(retryMs, () => { attempt(key, version, register, Math.min(2 * retryMs, MAXIMUM_RETRY_MS)) }))
      return
    }
    entering.delete(key)
  }

  return {
    isRegistered: (instance) => enterVersions === undefined || registered.has(formatKey(instance)),
    enter: (instance) => {
      const key = formatKey(instance)
      if (enterVersions === undefined || registered.has(key) || entering.has(key)) return
      entering.add(key)
      attempt(key, toVersion(instance), enterVersions, FIRST_RETRY_MS)
    },
    retainListed: () => {
      if (registered.size === 0) return
      const listed = new Set([...listInstances()].map(formatKey))
      for (const key of registered) if (!listed.has(key)) registered.delete(key)
    },
    stop: () => { for (const timer of timers.values()) timer.cancel() }
  }
}
