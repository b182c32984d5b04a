import { describe, expect, it } from 'vitest'
import { createBackendHealth } from './index.js'
import { createHeartbeatExchange } from '../heartbeatExchange/index.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { failure, success } from '../../kernel/index.js'
import type { BackendError, BackendServer, Configuration, LoadReport, Member, PlannedStop, Vm } from '../../types/index.js'

const SERVERS = ['engine-0', 'engine-1', 'engine-2', 'engine-3']
const SETTINGS = { nodeId: 'node-1', loadReportIntervalMs: 1000, connectTimeoutMs: 500 }

const createServer = (name: string): BackendServer => ({ name, service: 'chat', url: `http://${name}`, availabilityZone: 'venkov-a', slots: 8 })

const createConfiguration = (plannedStops: readonly PlannedStop[]): Configuration => ({
  generation: 1, appliedBy: 'operator', appliedAt: 0, applyId: 'apply-1', sheet: { clientAccounts: [], services: [], routes: [], backendServers: SERVERS.map(createServer), plannedStops }
})

const MEMBER: Member = { nodeId: 'node-1', incarnation: 1, address: { host: '', port: 1 }, availabilityZone: 'venkov-a', state: 'live', generation: 0 }

const createNode = () => {
  const clock = createManualClock()
  const exchange = createHeartbeatExchange()
  const answers = new Map<string, LoadReport | BackendError>()
  const vmListeners: ((vms: readonly Vm[]) => void)[] = []
  const configurationListeners: (() => void)[] = []
  let configuration = createConfiguration([])
  const service = createBackendHealth({
    clock,
    random: createSeededRandom(1),
    exchange,
    backendClient: {
      readLoad: async (url) => {
        const answer = answers.get(url.slice('http://'.length)) ?? { running: 0, waiting: 0, slots: 8, leaving: false, ageMs: 0 }
        return 'kind' in answer ? failure(answer) : success(answer)
      }
    },
    configuration: { current: () => configuration, onChange: (listener) => { configurationListeners.push(() => listener(configuration)) } },
    loadView: { estimateInFlight: () => 0, ownInFlight: () => 0, applyReport: () => {} },
    membership: { liveMembers: () => [MEMBER], onChange: () => {} },
    vmList: { current: () => undefined, onRead: (listener) => { vmListeners.push(listener) } }
  }, { settings: SETTINGS })
  service.start?.()
  const report = (name: string, changes: Partial<LoadReport>): void => { answers.set(name, { running: 0, waiting: 0, slots: 8, leaving: false, ageMs: 0, ...changes }) }
  const refuse = (name: string): void => { answers.set(name, { kind: 'notSent', message: 'refused' }) }
  const makeUnresponsive = (name: string): void => { answers.set(name, { kind: 'cancelled' }) }
  const readVms = (name: string, state: Vm['state']): void => {
    for (const listen of vmListeners) listen([{ name, kind: 'backendServer', address: `http://${name}`, availabilityZone: 'venkov-a', state }])
  }
  const applyStops = (...stops: readonly PlannedStop[]): void => {
    configuration = createConfiguration(stops)
    for (const listen of configurationListeners) listen()
  }
  const health = service.api
  return { clock, health, exchange, report, refuse, makeUnresponsive, readVms, applyStops, stateOf: (name: string) => health.status(name).state }
}

type Node = ReturnType<typeof createNode>

/** Delivers one node's next heartbeat, with its leaving marks, to another. */
const gossip = (from: Node, to: Node): void =>
  to.exchange.deliver({ kind: 'heartbeat', member: MEMBER, rumours: [], ...from.exchange.collect(MEMBER) })

const failTimes = (node: Node, name: string, times: number): void => {
  for (let count = 0; count < times; count++) node.health.recordAttempt(name, 'failed')
}

describe('createBackendHealth', () => {
  it.each<{ source: string, act: (node: Node) => void }>([
    { source: 'the VM list', act: (node) => node.readVms('engine-0', 'leaving') },
    { source: 'a planned stop in force', act: (node) => node.applyStops({ name: 'stop-1', backendServer: 'engine-0', startsAt: node.clock.wallTime() }) },
    { source: "the server's own report", act: (node) => node.report('engine-0', { leaving: true }) },
    { source: "the server's documented refusal", act: (node) => node.health.markLeaving('engine-0') },
    { source: 'a mark that a peer passed on', act: (node) => node.health.mergeLeavingMarks([{ backendServer: 'engine-0', epoch: 1, leaving: true }]) }
  ])('sends a server no new requests within seconds when $source reports that it is leaving', async ({ act }) => {
    const node = createNode()
    act(node)
    await node.clock.advanceAndSettle(1500)
    expect(node.stateOf('engine-0')).toBe('leaving')
    expect(node.health.status('engine-0').weightShare).toBe(0)
    expect(node.stateOf('engine-1')).toBe('live')
  })

  it.each([['its own', 'venkov-a', 'leaving'], ['another', 'venkov-b', 'live']])('obeys a planned stop of a zone: %s', (_, availabilityZone, state) => {
    const node = createNode()
    node.applyStops({ name: 'stop-1', availabilityZone, startsAt: node.clock.wallTime() })
    expect([node.stateOf('engine-0'), node.stateOf('engine-1')]).toEqual([state, state])
  })

  it('keeps a planned stop to its times', async () => {
    const node = createNode()
    const startsAt = node.clock.wallTime() + 1000
    node.applyStops({ name: 'stop-1', backendServer: 'engine-0', startsAt, endsAt: startsAt + 1000 })
    const states = [node.stateOf('engine-0')]
    for (let step = 0; step < 2; step++) {
      await node.clock.advanceAndSettle(1000)
      states.push(node.stateOf('engine-0'))
    }
    expect(states).toEqual(['live', 'leaving', 'live'])
  })

  // Otherwise a server that is leaving in a partitioned zone would still get requests from other zones.
  it('receives the leaving mark of a server in a partitioned zone from a router there', async () => {
    const [prober, other] = [createNode(), createNode()]
    prober.report('engine-0', { leaving: true })
    await prober.clock.advanceAndSettle(1500)
    gossip(prober, other)
    expect(other.stateOf('engine-0')).toBe('leaving')
  })

  // Otherwise a lagging VM list would clear a leaving mark.
  it('keeps a leaving mark that a lagging VM list contradicts', async () => {
    const [fresh, lagging] = [createNode(), createNode()]
    fresh.readVms('engine-0', 'leaving')
    gossip(fresh, lagging)
    for (let read = 0; read < 5; read++) {
      lagging.readVms('engine-0', 'live')
      await lagging.clock.advanceAndSettle(5000)
    }
    gossip(lagging, fresh)
    expect(lagging.stateOf('engine-0')).toBe('leaving')
    expect(fresh.stateOf('engine-0')).toBe('leaving')
  })

  it('clears a leaving mark when its source contradicts it for long enough', async () => {
    const [first, second] = [createNode(), createNode()]
    first.report('engine-0', { leaving: true })
    await first.clock.advanceAndSettle(1500)
    gossip(first, second)
    first.report('engine-0', { leaving: false })
    await first.clock.advanceAndSettle(8000)
    expect(first.stateOf('engine-0')).toBe('live')
    gossip(first, second)
    expect(second.stateOf('engine-0')).toBe('live')
  })

  it('ignores a mark with an older epoch', () => {
    const node = createNode()
    node.health.markLeaving('engine-0')
    node.health.mergeLeavingMarks([{ backendServer: 'engine-0', epoch: 1, leaving: false }])
    expect(node.stateOf('engine-0')).toBe('leaving')
  })

  it('ejects a server that fails, and returns it with a slow start', async () => {
    const node = createNode()
    failTimes(node, 'engine-0', 3)
    expect(node.stateOf('engine-0')).toBe('ejected')
    await node.clock.advanceAndSettle(1500)
    expect(node.stateOf('engine-0')).toBe('slowStart')
    await node.clock.advanceAndSettle(12_000)
    expect(node.stateOf('engine-0')).toBe('live')
  })

  // With all servers of a service ejected, requests that might succeed would be refused.
  it('never ejects more than the maximum share of a service', () => {
    const node = createNode()
    for (const name of SERVERS) failTimes(node, name, 5)
    expect(node.health.statuses().map(({ state }) => state)).toEqual(['ejected', 'ejected', 'live', 'live'])
  })

  // Otherwise each request at a hung server would wait for its full time-out.
  it('ejects a server that accepts connections and answers no probe', async () => {
    const node = createNode()
    node.makeUnresponsive('engine-0')
    await node.clock.advanceAndSettle(6000)
    expect(node.stateOf('engine-0')).toBe('ejected')
  })

  it('marks servers as unreachable by probes alone, without a failed request', async () => {
    const node = createNode()
    for (const name of SERVERS.slice(1)) node.refuse(name)
    await node.clock.advanceAndSettle(4000)
    expect(node.health.statuses().map(({ state }) => state)).toEqual(['live', 'unreachable', 'unreachable', 'unreachable'])
  })
})
