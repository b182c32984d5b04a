/** Gauges of a gateway node's view of the fleet and of its open requests. */
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import type { BackendInstance, GaugeName, GaugeReading, InstanceClient, Metrics, RetryUsage } from '../../../types/index.js'
import type { GatewayNode } from '../index.js'

const MILLISECONDS_PER_SECOND = 1_000
const UNKNOWN_AGE_SECONDS = -1

const countBy = (values: readonly (readonly [key: string, labels: Readonly<Record<string, string>>])[]): readonly GaugeReading[] => {
  const readings = new Map<string, { value: number, readonly labels: Readonly<Record<string, string>> }>()
  for (const [key, labels] of values) {
    const reading = readings.get(key) ?? { value: 0, labels }
    reading.value += 1
    readings.set(key, reading)
  }
  return [...readings.values()]
}

type Resolve = GatewayNode['resolve']

/** Returns the first state that applies to a server. Only servers in the last two states get requests. */
const createStateReader = (resolve: Resolve): (instance: BackendInstance) => string => {
  const [health, notices, zoneDrains, warmUp] = [resolve('instanceHealth'), resolve('instanceNotices'), resolve('zoneDrains'), resolve('warmUp')]
  return (instance) => {
    if (instance.isLeaving) return 'leaving'
    if (zoneDrains.isDrained(instance.availabilityZone)) return 'drained'
    if (notices.backoffRemainingMs(instance) > 0) return 'backoff'
    if (health.isSuspended(instance)) return 'held'
    return warmUp.remainingMs(instance) > 0 ? 'warming' : 'live'
  }
}

const readInstances = (resolve: Resolve): readonly GaugeReading[] => {
  const readState = createStateReader(resolve)
  return countBy(resolve('instanceRegistry').all().map((instance) => {
    const state = readState(instance)
    return [`${instance.service} ${state}`, { service: instance.service, state }]
  }))
}

const readConfirmedAge = (resolve: Resolve): number => {
  const ageMs = resolve('gatewayConfiguration').confirmedAgeMs()
  return Number.isFinite(ageMs) ? ageMs / MILLISECONDS_PER_SECOND : UNKNOWN_AGE_SECONDS
}

/** More servers than this would make up most of a scrape in a large fleet. */
const MAXIMUM_UNREAD_SERVERS = 20

const readUnreadTokens = (resolve: Resolve): readonly GaugeReading[] =>
  resolve('instanceRegistry').all()
    .map((instance) => ({ value: Math.round(resolve('serverWork').estimate(instance)?.unreadTokens ?? 0), labels: { backend_server: instance.id } }))
    .filter(({ value }) => value > 0)
    .sort((left, right) => right.value - left.value)
    .slice(0, MAXIMUM_UNREAD_SERVERS)

const readOwnRequests = (resolve: Resolve): number =>
  resolve('instanceRegistry').all().reduce((sum, instance) => sum + resolve('loadView').ownInFlight(formatInstanceKey(instance)), 0)

const readLoadSums = (resolve: Resolve): readonly GaugeReading[] =>
  resolve('fleetLoad').totals().map(({ group, sum, requests }) => ({ value: requests, labels: { group, summed_by: sum.slice(0, sum.lastIndexOf('/')) } }))

const readLoadSumAges = (resolve: Resolve): readonly GaugeReading[] =>
  resolve('fleetLoad').totals().map(({ group, ageMs }) => ({ value: ageMs / MILLISECONDS_PER_SECOND, labels: { group } }))

const readHeldBytes = (client: InstanceClient, resolve: Resolve): readonly GaugeReading[] => {
  const { unsent, unanswered } = client.countUploadBytes?.() ?? { unsent: 0, unanswered: 0 }
  return Object.entries({ ...resolve('heldBytes').countBytes(), unsentBody: unsent, unansweredBody: unanswered })
    .map(([kind, value]) => ({ value, labels: { kind } }))
}

const retryGauges: Partial<Readonly<Record<GaugeName, (usage: RetryUsage) => number>>> = {
  gateway_retry_requests: ({ requests }) => requests,
  gateway_retry_sends: ({ retries }) => retries,
  gateway_retry_constant_share: ({ constantShare }) => constantShare,
  gateway_retry_age_seconds: ({ sinceMs }) => sinceMs / MILLISECONDS_PER_SECOND
}

const readRetryUsage = (resolve: Resolve, read: (usage: RetryUsage) => number): readonly GaugeReading[] =>
  resolve('forwarding').retryUsage().map((usage) => ({ value: read(usage), labels: { service: usage.service } }))

/** Registers the gauges; each is read on every scrape. */
export const registerGauges = (metrics: Metrics, client: InstanceClient, resolve: Resolve): void => {
  metrics.readGauge('gateway_held_bytes', () => readHeldBytes(client, resolve))
  metrics.readGauge('gateway_requests_open', () => [{ value: resolve('forwarding').openRequests() }])
  for (const [name, read] of Object.entries(retryGauges)) metrics.readGauge(name as keyof typeof retryGauges, () => readRetryUsage(resolve, read))
  metrics.readGauge('gateway_stream_versions_held', () => [{ value: resolve('streamVersions').countRecords() }])
  metrics.readGauge('gateway_quarantined_parts', () => [{ value: resolve('quarantine').count().quarantined }])
  metrics.readGauge('gateway_server_ends_held', () => [{ value: resolve('quarantine').count().ends }])
  metrics.readGauge('configuration_version', () => [{ value: resolve('gatewayConfiguration').version() }])
  metrics.readGauge('configuration_confirmed_age_seconds', () => [{ value: readConfirmedAge(resolve) }])
  metrics.readGauge('instances', () => readInstances(resolve))
  metrics.readGauge('load_own_requests', () => [{ value: readOwnRequests(resolve) }])
  metrics.readGauge('load_sum_requests', () => readLoadSums(resolve))
  metrics.readGauge('load_sum_age_seconds', () => readLoadSumAges(resolve))
  metrics.readGauge('backend_server_unread_tokens', () => readUnreadTokens(resolve))
  metrics.readGauge('backend_server_reading_ms_per_token', () => [...resolve('serverWork').readingPaces()].map(([service, value]) => ({ value, labels: { service } })))
  metrics.readGauge('peers_reach', () => Object.entries(resolve('reachExchange').countPeers()).map(([reach, value]) => ({ value, labels: { reach } })))
  metrics.readGauge('members', () => countBy(resolve('membership').members().map(({ state }) => [state, { state }])))
}
