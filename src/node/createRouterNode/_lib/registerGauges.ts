import type { BackendHealth, BackendServerState, BackendServerStatus, ConfigurationHolder, Dispatch, GaugeReading, Member, Membership, Metrics } from '../../../types/index.js'

export type GaugeSources = {
  readonly membership: Membership
  readonly configuration: ConfigurationHolder
  readonly backendHealth: BackendHealth
  readonly dispatch: Dispatch
}

const MILLISECONDS_PER_SECOND = 1_000

const countByState = (members: readonly Member[]): readonly GaugeReading[] => {
  const states = [...new Set(members.map((member) => member.state))]
  return states.map((state) => ({ labels: { state }, value: members.filter((member) => member.state === state).length }))
}

const readEach = (statuses: readonly BackendServerStatus[], read: (status: BackendServerStatus) => number): readonly GaugeReading[] =>
  statuses.map((status) => ({ labels: { backend_server: status.backendServer }, value: read(status) }))

const computeSkew = (loads: readonly { readonly inFlight: number, readonly slots: number }[]): number => {
  const total = loads.reduce((sum, { inFlight }) => sum + inFlight, 0)
  const slots = loads.reduce((sum, load) => sum + load.slots, 0)
  return total === 0 ? 1 : Math.max(...loads.map((load) => load.inFlight / load.slots)) * slots / total
}

const readSkews = ({ configuration, backendHealth }: GaugeSources): readonly GaugeReading[] => {
  const sheet = configuration.current()?.sheet
  if (sheet === undefined) return []
  return sheet.services.map(({ name }) => {
    const servers = sheet.backendServers.filter((server) => server.service === name)
    const loads = servers.map((server) => ({ slots: server.slots, inFlight: backendHealth.status(server.name).inFlight }))
    return { labels: { service: name }, value: loads.length === 0 ? 1 : computeSkew(loads) }
  })
}

/** Counts accepted requests that have no outcome and are not open, that is, lost ones. */
const countUnaccounted = (dispatch: Dispatch): number => {
  const { accepted, complete, refused, unknown, open } = dispatch.ledger()
  return accepted - complete - refused - unknown - open
}

/** Registers the gauges, which read the state of the services. */
export const registerGauges = (metrics: Metrics, sources: GaugeSources): void => {
  const { membership, configuration, backendHealth, dispatch } = sources
  const readState = (state: BackendServerState): readonly GaugeReading[] => readEach(backendHealth.statuses(), (status) => status.state === state ? 1 : 0)
  metrics.readGauge('requests_open', () => [{ value: dispatch.ledger().open }])
  metrics.readGauge('requests_oldest_open_seconds', () => [{ value: dispatch.oldestOpenMs() / MILLISECONDS_PER_SECOND }])
  metrics.readGauge('requests_unaccounted', () => [{ value: countUnaccounted(dispatch) }])
  metrics.readGauge('configuration_generation', () => [{ value: configuration.generation() }])
  metrics.readGauge('members', () => countByState(membership.members()))
  metrics.readGauge('backend_server_in_flight', () => readEach(backendHealth.statuses(), ({ inFlight }) => inFlight))
  metrics.readGauge('backend_server_ejected', () => readState('ejected'))
  metrics.readGauge('backend_server_leaving', () => readState('leaving'))
  metrics.readGauge('backend_server_unreachable', () => readState('unreachable'))
  metrics.readGauge('load_skew', () => readSkews(sources))
}
