/**
 * Admission control with weighted fair queueing. Each service has its own queue;
 * the shares of client accounts follow their recent usage in the whole fleet.
 */
import type { RunningService } from '../../kernel/index.js'
import type { Admission, Clock, ConfigurationHolder, Metrics } from '../../types/index.js'
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
}

export const defaultAdmissionOptions: AdmissionOptions = {
  maximumQueued: 1_000,
  maximumQueuedPerAccount: 200,
  overnightShare: 0.1,
  usageHalfLifeMs: 5_000,
  peerUsageMaximumAgeMs: 15_000,
  publishedAccounts: 8,
  pollIntervalMs: 50
}

export type AdmissionDependencies = {
  readonly clock: Clock
  readonly configuration: Pick<ConfigurationHolder, 'current'>
  readonly metrics?: Metrics
  /**
   * Slots of the service that this node may use at once, its own running
   * requests included: the slots of all usable backend servers minus the
   * requests in flight from other nodes. It is compared with the number of
   * open tickets, so a request counts from its admission, before it is placed.
   */
  readonly countSlots: (service: string) => number
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
export const createAdmission = (dependencies: AdmissionDependencies, options: AdmissionOptions = defaultAdmissionOptions): RunningService<Admission> => {
  const { clock, configuration, metrics, countSlots } = dependencies
  const usageOptions = { halfLifeMs: options.usageHalfLifeMs, peerUsageMaximumAgeMs: options.peerUsageMaximumAgeMs }
  const usage = createUsageRecord(clock, usageOptions)
  const classUsage = createUsageRecord(clock, usageOptions)
  const queues = new Map<string, ServiceQueue>()
  const findWeight = createWeightLookup(configuration)

  const getQueue = (service: string): ServiceQueue => {
    const known = queues.get(service)
    if (known !== undefined) return known
    const recordWait = (waitMs: number): void => { metrics?.observe('queue_wait_seconds', waitMs / 1_000) }
    const queue = createServiceQueue(service, { clock, usage, classUsage, countSlots: () => countSlots(service), findWeight, recordWait }, options)
    queues.set(service, queue)
    return queue
  }

  metrics?.readGauge('queue_length', () => [{ value: [...queues.values()].reduce((sum, queue) => sum + queue.length(), 0) }])

  return {
    api: {
      admit: (demand) => getQueue(demand.service).admit(demand),
      usage: () => usage.listLargest(options.publishedAccounts),
      mergeUsage: (nodeId, peerUsage) => { usage.mergePeer(nodeId, peerUsage) }
    }
  }
}

/** Creates a look-up of account weights by name. The index is built once for each configuration. */
const createWeightLookup = (configuration: Pick<ConfigurationHolder, 'current'>): (clientAccount: string) => number => {
  let indexed: ReturnType<ConfigurationHolder['current']>
  let weights: ReadonlyMap<string, number> = new Map()
  return (clientAccount) => {
    const current = configuration.current()
    if (current !== indexed) {
      indexed = current
      weights = new Map(current?.sheet.clientAccounts.map((account) => [account.name, account.weight]))
    }
    return weights.get(clientAccount) ?? DEFAULT_WEIGHT
  }
}
