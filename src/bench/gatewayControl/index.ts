/**
 * Measures the control traffic of a gateway node by size of the fleet: bytes to
 * its peers by kind of message, calls to the platform's store, processor time, and
 * the error of its load estimates.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createInProcessFleet, type InProcessFleet } from '../../emulator/createInProcessFleet/index.js'
import { describeEngines } from '../../emulator/describeEngines/index.js'
import { groupBy } from '../../kernel/groupBy/index.js'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import type { EngineCapacity } from '../../types/index.js'
import type { Bench } from '../types.js'
import { mean, round } from '../_lib/statistics.js'

type GatewayFleetSize = { readonly nodes: number, readonly servers: number, readonly zones: number }

/** Sizes from small sites up to the largest that the system is designed for; the number of servers grows with the nodes. */
const SIZES: readonly GatewayFleetSize[] = [
  { nodes: 9, servers: 9, zones: 3 },
  { nodes: 30, servers: 30, zones: 3 },
  { nodes: 27, servers: 98, zones: 3 },
  { nodes: 69, servers: 45, zones: 3 },
  { nodes: 100, servers: 100, zones: 4 },
  { nodes: 304, servers: 500, zones: 8 }
]
const FAST_SIZES = SIZES.slice(0, 2)

const WARM_UP_MS = 20_000
const MEASURED_MS = 10_000
const MS_PER_SECOND = 1_000
const MICROSECONDS_PER_MS = 1_000
const BYTES_PER_KILOBYTE = 1_024
/** TCP and IP headers of a message in a packet of its own. */
const HEADER_BYTES = 40
/** Requests per second that one node starts, and their duration: an extrapolation from the kiosk network. */
const REQUESTS_PER_SECOND = 4.4
const REQUEST_MS = 1_000
/** Prompt tokens that a server has to read for each request, and the time until its answer begins. */
const UNREAD_TOKENS = { missingTokens: 3_000, expectedOutputTokens: 200, maximumOutputTokens: 400 }
const FIRST_BYTE_MS = 200
const ENGINE: EngineCapacity = { slots: 24, memoryTokens: 200_000, bytesPerToken: 100_000, linkMbps: 100_000, canMove: false, canBackUp: false, copyLifetimeMs: 0, tokensPerEvent: 5 }
/** Number of shared prompt prefixes; in this benchmark each is always sent to the same server. */
const SUBJECTS = 300

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}

/** Starts requests on each node at the given rate until stopped. */
const generateRequests = (fleet: InProcessFleet, random: () => number): (() => void) => {
  let isStopped = false
  const startOne = (index: number): void => {
    if (isStopped) return
    const node = fleet.nodes[index]!
    const subject = Math.floor(random() * SUBJECTS)
    const servers = node.resolve('instanceRegistry').all()
    const instance = servers[subject % servers.length]!
    const key = formatInstanceKey(instance)
    node.resolve('loadView').recordStart(key)
    const sent = node.resolve('serverWork').recordSend(instance, UNREAD_TOKENS)
    fleet.clock.setTimer(FIRST_BYTE_MS, () => sent.recordFirstBytes(true))
    node.resolve('promptDirectory').record([{ id: 'shop', tokens: 800 }, { id: `subject-${subject}`, tokens: 400 }, { id: `own-${random()}`, tokens: 200 }], key)
    fleet.clock.setTimer(REQUEST_MS, () => {
      node.resolve('loadView').recordEnd(key)
      sent.recordEnd()
    })
    fleet.clock.setTimer(2 * random() * MS_PER_SECOND / REQUESTS_PER_SECOND, () => startOne(index))
  }
  fleet.nodes.forEach((_, index) => startOne(index))
  return () => { isStopped = true }
}

const readBytes = (fleet: InProcessFleet): readonly ReadonlyMap<string, number>[] => fleet.transports.map((transport) => new Map(transport.bytesSent()))

const readMessages = (fleet: InProcessFleet): number => fleet.transports.reduce((sum, transport) => sum + transport.messagesSent(), 0)

/** Mean relative error of the nodes' load estimates, against the exact sum of all nodes' own counts. */
const measureLoadError = (fleet: InProcessFleet): number => {
  const keys = fleet.nodes[0]!.resolve('instanceRegistry').all().map(formatInstanceKey)
  const errors = keys.flatMap((key) => {
    const truth = fleet.nodes.reduce((sum, node) => sum + node.resolve('loadView').ownInFlight(key), 0)
    return truth === 0 ? [] : fleet.nodes.map((node) => Math.abs(node.resolve('loadView').estimateInFlight(key) - truth) / truth)
  })
  return mean(errors)
}

const measure = async (size: GatewayFleetSize, seed: number): Promise<readonly (string | number)[]> => {
  const random = createRandom(seed)
  const fleet = createInProcessFleet({ nodesPerZone: size.nodes / size.zones, zones: size.zones, random, gatewayConfiguration: { services: describeEngines(ENGINE) } })
  for (let index = 0; index < size.servers; index++) fleet.putInstance(`engine-${index}`, { availabilityZone: `zone-${index % size.zones}` })
  await fleet.start()
  await fleet.clock.advanceAndSettle(WARM_UP_MS / 2)
  const stopRequests = generateRequests(fleet, random)
  await fleet.clock.advanceAndSettle(WARM_UP_MS / 2)
  const before = readBytes(fleet)
  const messagesBefore = readMessages(fleet)
  const callsBefore = fleet.countCalls()
  const startedUsage = process.cpuUsage()
  await fleet.clock.advanceAndSettle(MEASURED_MS)
  const usage = process.cpuUsage(startedUsage)
  const after = readBytes(fleet)
  const seconds = MEASURED_MS / MS_PER_SECOND
  const messages = (readMessages(fleet) - messagesBefore) / size.nodes / seconds
  const sent = after.flatMap((kinds, node) => [...kinds].map(([kind, bytes]) => ({ node, kind, bytes: bytes - (before[node]!.get(kind) ?? 0) })))
  const total = (entries: readonly { readonly bytes: number }[]): number => entries.reduce((sum, { bytes }) => sum + bytes, 0)
  const perNode = [...groupBy(sent, ({ node }) => String(node)).values()].map((entries) => total(entries) / BYTES_PER_KILOBYTE / seconds)
  const ofKind = (part: string): number => total(sent.filter(({ kind }) => kind.startsWith(part))) / BYTES_PER_KILOBYTE / seconds / size.nodes
  const loadError = measureLoadError(fleet)
  stopRequests()
  await fleet.stop()
  return [
    size.nodes, size.servers, size.zones,
    round(ofKind('heartbeat')), round(ofKind('load')), round(ofKind('knowledge')), round(ofKind('promptPlaces')),
    round(mean(perNode) + messages * HEADER_BYTES / BYTES_PER_KILOBYTE), round(Math.max(...perNode)), round(messages, 1),
    round((fleet.countCalls() - callsBefore) / seconds, 1),
    round((usage.user + usage.system) / MICROSECONDS_PER_MS / size.nodes / seconds),
    round(100 * loadError, 1)
  ]
}

/**
 * Runs the benchmark.
 *
 * Nodes run in one process on a manual clock, with a store that responds in 4 ms.
 * Processor time includes the network in memory and the generated requests.
 *
 * @param options - `fast` measures the two smallest sizes; `only` one size, by its number of nodes; `seed` makes the run reproducible.
 * @returns One table, a row per size.
 *
 * @example
 * const [table] = await runGatewayControlBench({ fast: true, seed: 1 })
 */
export const runGatewayControlBench: Bench = async ({ fast, seed, only }) => {
  const sizes = only === undefined ? fast ? FAST_SIZES : SIZES : SIZES.filter(({ nodes }) => String(nodes) === only)
  const rows: (readonly (string | number)[])[] = []
  for (const size of sizes) rows.push(await measure(size, seed))
  return [{
    title: 'Control of a gateway node, steady, at 4.4 requests a second and node',
    columns: ['nodes', 'servers', 'zones', 'heartbeat KB/s', 'load KB/s', 'knowledge KB/s', 'promptPlaces KB/s', 'all KB/s with headers', 'frames KB/s (worst node)', 'messages/s', 'store calls/s (fleet)', 'CPU ms/s', 'load error %'],
    rows
  }]
}
