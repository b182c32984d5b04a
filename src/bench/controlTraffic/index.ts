/**
 * Measures the control traffic between routers by size of the fleet: bytes,
 * processor time and memory, the error of the load estimates, and the time that
 * a change takes to reach every node.
 */
import { mean, round } from '../_lib/statistics.js'
import { createFleet } from './createFleet.js'
import type { Fleet, FleetNode, FleetSize } from './createFleet.js'
import { runTraffic } from './runTraffic.js'
import type { Bench, Table } from '../types.js'

const SIZES: readonly FleetSize[] = [
  { nodes: 9, servers: 12, zones: 3 },
  { nodes: 45, servers: 75, zones: 3 },
  { nodes: 90, servers: 150, zones: 3 },
  { nodes: 180, servers: 300, zones: 4 },
  { nodes: 360, servers: 600, zones: 8 }
]

/** Sizes of the fast setting: the smallest fleet, and one that is too large for a full mesh of peers. */
const FAST_SIZES = SIZES.slice(0, 2)

const DIRECTORY_KINDS = ['directoryLookup', 'directoryLookupReply', 'directoryStore']

const START_SPREAD_MS = 1000
/** Long enough that the updates about the start of the fleet are no longer sent. */
const WARM_UP_MS = 60_000
const MEASURED_MS = 10_000
const STEP_MS = 50
const MAXIMUM_WAIT_MS = 30_000
const MS_PER_SECOND = 1000
const BYTES_PER_KILOBYTE = 1000
const MICROSECONDS_PER_MS = 1000

const startFleet = async (size: FleetSize, seed: number): Promise<Fleet> => {
  const fleet = createFleet(size, seed)
  for (let index = 0; index < size.nodes; index++) {
    fleet.startNode(index)
    await fleet.clock.advanceAndSettle(Math.floor(START_SPREAD_MS / size.nodes))
  }
  return fleet
}

const totalBytes = (node: FleetNode): number => [...node.transport.bytesSent().values()].reduce((sum, bytes) => sum + bytes, 0)

type TrafficCounters = { readonly bytes: number, readonly heartbeat: number, readonly digest: number, readonly snapshot: number, readonly directory: number, readonly messages: number, readonly probes: number }

const readTrafficCounters = (node: FleetNode): TrafficCounters => ({
  bytes: totalBytes(node),
  heartbeat: node.transport.bytesSent().get('heartbeat') ?? 0,
  digest: node.transport.bytesSent().get('loadDigest') ?? 0,
  snapshot: node.transport.bytesSent().get('loadSnapshot') ?? 0,
  directory: DIRECTORY_KINDS.reduce((sum, kind) => sum + (node.transport.bytesSent().get(kind) ?? 0), 0),
  messages: node.transport.messagesSent(),
  probes: node.readProbes()
})

const computeRates = (before: readonly TrafficCounters[], after: readonly TrafficCounters[], field: keyof TrafficCounters, ms: number): readonly number[] =>
  after.map((counters, index) => (counters[field] - before[index]![field]) / (ms / MS_PER_SECOND))

/** Relative errors of the load estimates of all nodes, at one moment. */
const measureErrors = (fleet: Fleet): readonly number[] => {
  const truths = fleet.servers.map(({ name }) => ({ name, truth: fleet.countExactInFlight(name) })).filter(({ truth }) => truth > 0)
  return fleet.nodes.flatMap((node) => truths.map(({ name, truth }) => Math.abs(node.loadView.estimateInFlight(name) - truth) / truth))
}

const measureSteady = async (fleet: Fleet, size: FleetSize, ms: number): Promise<readonly (string | number)[]> => {
  const traffic = runTraffic(fleet)
  await fleet.clock.advanceAndSettle(WARM_UP_MS)
  const before = fleet.nodes.map(readTrafficCounters)
  const startedUsage = process.cpuUsage()
  await fleet.clock.advanceAndSettle(ms)
  const usage = process.cpuUsage(startedUsage)
  const after = fleet.nodes.map(readTrafficCounters)
  const errors = [...measureErrors(fleet)].sort((one, other) => one - other)
  traffic.stop()
  const kilobytes = (field: keyof TrafficCounters): readonly number[] => computeRates(before, after, field, ms).map((bytes) => bytes / BYTES_PER_KILOBYTE)
  const nodeSeconds = size.nodes * ms / MS_PER_SECOND
  return [
    size.nodes, size.servers, size.zones,
    round(mean(kilobytes('heartbeat'))), round(mean(kilobytes('digest'))), round(mean(kilobytes('snapshot'))), round(mean(kilobytes('directory'))), round(mean(kilobytes('bytes'))), round(Math.max(...kilobytes('bytes'))),
    round(mean(computeRates(before, after, 'messages', ms)), 1), round(mean(computeRates(before, after, 'probes', ms)), 1),
    round((usage.user + usage.system) / MICROSECONDS_PER_MS / nodeSeconds),
    round(process.memoryUsage().heapUsed / BYTES_PER_KILOBYTE / BYTES_PER_KILOBYTE / size.nodes),
    round(100 * mean(errors), 1), round(100 * (errors[Math.floor(errors.length * 0.99)] ?? 0), 1)
  ]
}

/** Advances the clock until the condition holds; returns the milliseconds, or a text after a time-out. */
const waitUntil = async (fleet: Fleet, isTrue: () => boolean): Promise<number | string> => {
  const startedAt = fleet.clock.now()
  while (fleet.clock.now() - startedAt < MAXIMUM_WAIT_MS) {
    if (isTrue()) return fleet.clock.now() - startedAt
    await fleet.clock.advanceAndSettle(STEP_MS)
  }
  return `over ${MAXIMUM_WAIT_MS}`
}

const readMemberState = (node: FleetNode, name: string): string | undefined =>
  node.membership.members().find((member) => member.nodeId === name)?.state

const measurePropagation = async (fleet: Fleet, size: FleetSize): Promise<readonly (string | number)[]> => {
  const [leavingServer] = fleet.servers
  fleet.nodes[0]!.backendHealth.markLeaving(leavingServer!.name)
  const leaving = await waitUntil(fleet, () => fleet.nodes.every((node) => node.backendHealth.status(leavingServer!.name).state === 'leaving'))
  const joined = fleet.startNode(size.nodes)
  const join = await waitUntil(fleet, () => fleet.nodes.every((node) => node === joined || readMemberState(node, joined.name) === 'live'))
  const lost = fleet.nodes[Math.floor(size.nodes / 2)]!
  await lost.stop()
  const death = await waitUntil(fleet, () => fleet.nodes.every((node) => node === lost || readMemberState(node, lost.name) === 'dead'))
  const nodesWithWrongMembers = fleet.nodes.filter((node) => node !== lost && node.membership.liveMembers().length !== size.nodes).length
  return [size.nodes, leaving, join, death, nodesWithWrongMembers]
}

const selectSizes = (fast: boolean, only: string | undefined): readonly FleetSize[] => {
  if (only !== undefined) return SIZES.filter(({ nodes }) => String(nodes) === only)
  return fast ? FAST_SIZES : SIZES
}

/**
 * Runs the benchmark.
 *
 * Nodes run in one process on a manual clock. Bytes are those of the frames,
 * without TCP and IP headers. Processor time includes the network in memory,
 * the clock and the generated requests.
 *
 * @param options - `fast` measures the two smallest sizes; `only` one size, by its number of nodes; `seed` makes the run reproducible.
 * @returns A table of steady traffic, and one of the times until a change has reached every node.
 *
 * @example
 * const [steady] = await runControlTrafficBench({ fast: true, seed: 1 })
 */
export const runControlTrafficBench: Bench = async ({ fast, seed, only }) => {
  const steady: (readonly (string | number)[])[] = []
  const propagation: (readonly (string | number)[])[] = []
  for (const size of selectSizes(fast, only)) {
    const fleet = await startFleet(size, seed)
    steady.push(await measureSteady(fleet, size, MEASURED_MS))
    propagation.push(await measurePropagation(fleet, size))
  }
  const tables: readonly Table[] = [
    {
      title: 'Control traffic of a node, steady, at the peak rate of requests',
      columns: ['nodes', 'servers', 'zones', 'heartbeat KB/s', 'loadDigest KB/s', 'loadSnapshot KB/s', 'directory KB/s', 'all KB/s', 'all KB/s (worst node)', 'messages/s', 'probes/s', 'CPU ms/s', 'heap MB', 'load error %', 'load error % (p99)'],
      rows: steady
    },
    {
      title: 'Time until every node knows (ms); nodes with a wrong list of members afterwards',
      columns: ['nodes', 'server leaving', 'node joined', 'node dead', 'wrong lists'],
      rows: propagation
    }
  ]
  return tables
}
