/**
 * Admission control with weighted fair queueing. Each service has its own queue;
 * the shares of client accounts follow their recent usage in the whole fleet.
 */
import { failure } from '../../kernel/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Admission, AdmissionDemand, Clock, ConfigurationHolder, ImmediateAdmission, Metrics, WaitingDemand } from '../../types/index.js'
import { createHeldBytes } from './_lib/createHeldBytes.js'
import { createServiceQueue } from './_lib/createServiceQueue.js'
import type { ServiceQueue } from './_lib/createServiceQueue.js'
import { createUsageRecord } from './_lib/createUsageRecord.js'

/** Weight of an account that is not in the configuration in force. */
const DEFAULT_WEIGHT = 1

export type AdmissionOptions = {
  /** Maximum number of waiting requests of one service, over all accounts. */
  readonly maximumQueued: number
  readonly maximumQueuedPerAccount: number
  /** Share of the tokens of a contended service that overnight requests get, from 0 to 1. */
  readonly overnightShare: number
  /** Half-life of past usage in milliseconds. */
  readonly usageHalfLifeMs: number
  /** Milliseconds after which a peer's usage report expires. */
  readonly peerUsageMaximumAgeMs: number
  /** Maximum number of accounts that `usage` reports. */
  readonly publishedAccounts: number
  /** Milliseconds between two checks for free slots while requests wait. */
  readonly pollIntervalMs: number
  /** `classes`: interactive before overnight requests, first come first served in an account. `priority`: by priority, least time left first in an account. */
  readonly order: 'classes' | 'priority'
  /** Bytes that the node holds for waiting requests of all services; each account may hold a quarter of them. */
  readonly maximumQueuedBytes: number
}

export const defaultAdmissionOptions: AdmissionOptions = {
  maximumQueued: 1_000,
  maximumQueuedPerAccount: 200,
  overnightShare: 0.1,
  usageHalfLifeMs: 5_000,
  peerUsageMaximumAgeMs: 15_000,
  publishedAccounts: 8,
  pollIntervalMs: 50,
  order: 'classes',
  maximumQueuedBytes: Infinity
}

export type AdmissionDependencies = {
  readonly clock: Clock
  /** Weights of the accounts; equal without it. */
  readonly configuration?: Pick<ConfigurationHolder, 'current'>
  readonly metrics?: Metrics
  /**
   * Slots of the service that this node may use at once, its own running
   * requests included: the slots of all usable backend servers minus the
   * requests in flight from other nodes. It is compared with the number of
   * open tickets, so a request counts from its admission, before it is placed.
   */
  readonly countSlots: (service: string) => number
  /** Equal part of one node in all slots of the service, for the estimate of waits; unknown by default. */
  readonly countEqualPart?: (service: string) => number
}

/**
 * Creates the admission service of one node.
 *
 * @param dependencies - Clock, configuration and the slots of each service.
 * @param options - Limits and shares; `defaultAdmissionOptions` by default.
 * @returns The service. It needs no start or stop.
 *
 * @example
 * const { api } = createAdmission({ clock, configuration, countSlots: () => 8 })
 * const admitted = await api.admit(demand)
 * if (admitted.ok) admitted.value.finish(120)
 */
export const createAdmission = (dependencies: AdmissionDependencies, options: AdmissionOptions = defaultAdmissionOptions): RunningService<Admission & ImmediateAdmission> => {
  const { clock, configuration, metrics, countSlots } = dependencies
  const usageOptions = { halfLifeMs: options.usageHalfLifeMs, peerUsageMaximumAgeMs: options.peerUsageMaximumAgeMs }
  const usage = createUsageRecord(clock, usageOptions)
  const classUsage = createUsageRecord(clock, usageOptions)
  const queues = new Map<string, ServiceQueue>()
  const findWeight = createWeightLookup(configuration)

  const heldBytes = createHeldBytes(options.maximumQueuedBytes)

  const getQueue = ({ service, queue: name = service }: WaitingDemand): ServiceQueue => {
    const known = queues.get(name)
    if (known !== undefined) return known
    const recordWait = (waitMs: number): void => { metrics?.observe('queue_wait_seconds', waitMs / 1_000) }
    const queue = createServiceQueue(service, { clock, usage, classUsage, countSlots: () => countSlots(service), countEqualPart: () => dependencies.countEqualPart?.(service) ?? 0, findWeight, recordWait, heldBytes }, options)
    queues.set(name, queue)
    return queue
  }

  metrics?.readGauge('queue_length', () => [{ value: [...queues.values()].reduce((sum, queue) => sum + queue.length(), 0) }])

  metrics?.readGauge('accounts_over_share', () => [{ value: [...queues.values()].reduce((sum, queue) => sum + queue.countOverShare(), 0) }])

  const enter: ImmediateAdmission['enter'] = (demand, settle) => getQueue(demand).enter(demand, settle)

  return {
    api: {
      admit: (demand) => admitWhileWanted(enter, demand),
      enter,
      usage: () => usage.listLargest(options.publishedAccounts),
      mergeUsage: (nodeId, peerUsage) => { usage.mergePeer(nodeId, peerUsage) }
    }
  }
}

/** Admits a request unless its signal is aborted first. */
const admitWhileWanted = (enter: ImmediateAdmission['enter'], demand: AdmissionDemand): ReturnType<Admission['admit']> => new Promise((resolve) => {
  const { signal } = demand
  let isSettled = false
  const cancel = (): void => place.leave()
  const place = enter({ ...demand, ...(signal.aborted ? { deadlineAt: -Infinity } : {}) }, (outcome) => {
    isSettled = true
    signal.removeEventListener('abort', cancel)
    resolve(!outcome.ok && signal.aborted ? failure({ ...outcome.error, reason: 'cancelled' }) : outcome)
  })
  if (!isSettled) signal.addEventListener('abort', cancel)
})

/** Creates a look-up of account weights by name. The index is built once for each configuration. */
const createWeightLookup = (configuration: AdmissionDependencies['configuration']): (clientAccount: string) => number => {
  let indexed: ReturnType<ConfigurationHolder['current']>
  let weights: ReadonlyMap<string, number> = new Map()
  return (clientAccount) => {
    const current = configuration?.current()
    if (current !== indexed) {
      indexed = current
      weights = new Map(current?.sheet.clientAccounts.map((account) => [account.name, account.weight]))
    }
    return weights.get(clientAccount) ?? DEFAULT_WEIGHT
  }
}
