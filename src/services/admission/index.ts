/**
 * Fair shares of full backend pools. Each service has a queue of its own; what
 * an account lately used anywhere in the fleet counts at every node.
 */
import type { RunningService } from '../../kernel/index.js'
import type { Admission, Clock, ConfigurationHolder, Metrics } from '../../types/index.js'
import { createServiceQueue } from './_lib/createServiceQueue.js'
import type { ServiceQueue } from './_lib/createServiceQueue.js'
import { createUsageRecord } from './_lib/createUsageRecord.js'

/** Weight of an account that the configuration in force does not know (any more). */
const DEFAULT_WEIGHT = 1

export type AdmissionOptions = {
  /** Waiting requests of one service over all accounts. */
  readonly maximumQueued: number
  readonly maximumQueuedPerAccount: number
  /** Share of a contended service's work that overnight requests get, from 0 to 1. */
  readonly overnightShare: number
  /** Milliseconds after which half of past work is forgotten. */
  readonly usageHalfLifeMs: number
  /** Milliseconds after which a peer's report of usage is dropped. */
  readonly peerUsageMaximumAgeMs: number
  /** Accounts that `usage` names, at most. */
  readonly publishedAccounts: number
  /** Milliseconds between looks at the slots while somebody waits. */
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
   * Slots of the service that this node may have in use at once, its own
   * running requests included: the slots of all usable backend servers less
   * what other nodes have in flight. It is compared with the tickets that are
   * out, which counts a request from its grant on, before it is placed.
   */
  readonly slotsForNode: (service: string) => number
}

/**
 * Creates the admission service of one node.
 *
 * @param dependencies - Clock, configuration and the slots of each service.
 * @param options - Bounds and shares; `defaultAdmissionOptions` unless given.
 * @returns The service. It has nothing to start or stop.
 *
 * @example
 * const { api } = createAdmission({ clock, configuration, slotsForNode: () => 8 })
 * const admitted = await api.admit(demand)
 * if (admitted.ok) admitted.value.finish(120)
 */
export const createAdmission = (dependencies: AdmissionDependencies, options: AdmissionOptions = defaultAdmissionOptions): RunningService<Admission> => {
  const { clock, configuration, metrics, slotsForNode } = dependencies
  const usageOptions = { halfLifeMs: options.usageHalfLifeMs, peerUsageMaximumAgeMs: options.peerUsageMaximumAgeMs }
  const usage = createUsageRecord(clock, usageOptions)
  const classUsage = createUsageRecord(clock, usageOptions)
  const queues = new Map<string, ServiceQueue>()
  const findWeight = createWeights(configuration)

  const findQueue = (service: string): ServiceQueue => {
    const known = queues.get(service)
    if (known !== undefined) return known
    const recordWait = (waitMs: number): void => { metrics?.observe('queue_wait_seconds', waitMs / 1_000) }
    const queue = createServiceQueue(service, { clock, usage, classUsage, slotsForNode: () => slotsForNode(service), findWeight, recordWait }, options)
    queues.set(service, queue)
    return queue
  }

  metrics?.readGauge('queue_length', () => [{ value: [...queues.values()].reduce((sum, queue) => sum + queue.length(), 0) }])

  return {
    api: {
      admit: (demand) => findQueue(demand.service).admit(demand),
      usage: () => usage.listLargest(options.publishedAccounts),
      mergeUsage: (nodeId, peerUsage) => { usage.mergePeer(nodeId, peerUsage) }
    }
  }
}

/** Finds weights by account name; the index is built once for each configuration. */
const createWeights = (configuration: Pick<ConfigurationHolder, 'current'>): (clientAccount: string) => number => {
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
