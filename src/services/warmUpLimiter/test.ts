/** Checks the requests of all nodes to one warming server, in simulated fleets whose nodes see different members. */
import { describe, expect, test } from 'vitest'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createWarmUpLimiter } from './index.js'
import type { WarmUpLimiter, WarmUpLimiterDependencies } from './index.js'
import { createManualClock, type ManualClock } from '../../emulator/createManualClock/index.js'
import type { BackendInstance, GatewayConfiguration, Member } from '../../types/index.js'

const RATE = 9.8
const LIMIT = { excess: 1.5, slack: 5 }
const BOUND = RATE * LIMIT.excess + LIMIT.slack
const WARM_UP_MS = 3_000
/** By then every node has been up long enough to use its share. */
const SETTLED_MS = 5_000
const SIMULATED_MS = 8_000
const STEP_MS = 20

const createMember = (index: number): Member =>
  ({ nodeId: `node-${index}`, incarnation: 1, address: { host: `node-${index}`, port: 1 }, availabilityZone: `zone-${index % 3}`, state: 'live', generation: 1 })

const INSTANCE: BackendInstance = { id: 'engine-1', service: 'engines', address: { host: 'engine-1', port: 1 }, availabilityZone: 'zone-0', slots: 64, isLeaving: false, incarnation: 1, warmUpMs: WARM_UP_MS }

const CONFIGURATION: GatewayConfiguration = {
  version: 1,
  routes: [],
  services: new Map([['engines', { name: 'engines', healthPath: '/health', maximumConnections: 10, isModelService: true, warmUp: { durationMs: WARM_UP_MS, requestsPerSecond: RATE } }]]),
  limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  needsKeys: false,
  accountsByKey: new Map()
}

type NodeOptions = Partial<Pick<WarmUpLimiterDependencies, 'registry' | 'zoneDrains'>> & { readonly clock: ManualClock, readonly self: Member, readonly members: readonly Member[] }

const createNode = ({ clock, self, members, registry, zoneDrains }: NodeOptions): WarmUpLimiter => createWarmUpLimiter({
  clock,
  registry: registry ?? { warmUpLeftMs: () => WARM_UP_MS, onChange: () => {}, all: () => [INSTANCE] },
  configuration: { current: () => CONFIGURATION },
  membership: { members: () => members, self: () => self, onChange: () => {} },
  zoneDrains: zoneDrains ?? { endedAgoMs: () => Infinity }
}, { ...LIMIT, hasPeers: () => true }).api

type View = (members: readonly Member[], self: Member, random: () => number) => readonly Member[]

const VIEWS: Readonly<Record<string, View>> = {
  'all know all': (members) => members,
  'each lacks a third of the members': (members, self, random) => members.filter((member) => member === self || random() > 1 / 3),
  'each half of the fleet lacks the other half': (members, self) => {
    const isInFirst = (member: Member): boolean => members.indexOf(member) < members.length / 2
    return members.filter((member) => isInFirst(member) === isInFirst(self))
  }
}

/** Returns the maximum of sends in any one second and the mean rate, while nodes freeze for a while and resume with all their requests. */
const simulateFleet = (size: number, seed: number, view: View): { readonly most: number, readonly perSecond: number } => {
  const random = createSeededRandom(seed).next
  const clock = createManualClock()
  const members = Array.from({ length: size }, (_, index) => createMember(index))
  const nodes = members.map((self) => ({ warmUp: createNode({ clock, self, members: view(members, self, random) }), frozenUntil: 0 }))
  const sends: number[] = []
  clock.advance(SETTLED_MS)
  while (clock.now() < SETTLED_MS + SIMULATED_MS) {
    clock.advance(STEP_MS)
    for (const node of nodes) {
      if (random() < 0.002) node.frozenUntil = clock.now() + 3_000 * random()
      if (clock.now() < node.frozenUntil || node.warmUp.isLimitReached(INSTANCE)) continue
      node.warmUp.recordSend(INSTANCE)
      sends.push(clock.now())
    }
  }
  const most = Math.max(0, ...sends.map((from) => sends.filter((at) => at >= from && at < from + 1_000).length))
  return { most, perSecond: sends.length / (SIMULATED_MS / 1_000) }
}

// Load pattern: many prompts are placed on a recently started server by rendezvous hashing; when every node sends at once, it crashes.
describe.each(Object.entries(VIEWS))('where %s', (_name, view) => {
  test.each([3, 9, 70, 200, 360])('%i nodes stay within the bound of a warming server', (size) => {
    for (const seed of [1, 2, 3]) expect(simulateFleet(size, seed, view).most).toBeLessThanOrEqual(BOUND)
  })
})

test('a fleet of any size uses most of the rate of a warming server', () => {
  for (const size of [9, 70, 360]) expect(simulateFleet(size, 5, VIEWS['all know all']!).perSecond).toBeGreaterThan(0.5 * RATE)
})

describe('a node', () => {
  const members = Array.from({ length: 2 }, (_, index) => createMember(index))
  const [self, other] = members as [Member, Member]

  // A node that was killed and restarted may have used its share a moment before.
  test('that has just started sends nothing to a warming server', () => {
    const clock = createManualClock()
    const warmUp = createNode({ clock, self, members })
    expect(warmUp.isLimitReached(INSTANCE)).toBe(true)
    clock.advance(SETTLED_MS)
    expect(warmUp.isLimitReached(INSTANCE)).toBe(false)
  })

  // A node that is partitioned since its start ranks itself first for every server.
  test('that knows no other member sends nothing to a warming server', () => {
    const clock = createManualClock()
    const warmUp = createNode({ clock, self, members: [self] })
    clock.advance(SETTLED_MS)
    expect(warmUp.isLimitReached(INSTANCE)).toBe(true)
  })

  test('that is considered dead still counts as a member and keeps its share', () => {
    const clock = createManualClock()
    const warmUp = createNode({ clock, self, members: [self, { ...other, state: 'dead' }] })
    clock.advance(SETTLED_MS)
    for (let send = 0; send < 2; send++) warmUp.recordSend(INSTANCE)
    expect(warmUp.isLimitReached(INSTANCE)).toBe(true)
  })

  test('has its share again a second later', () => {
    const clock = createManualClock()
    const warmUp = createNode({ clock, self, members })
    clock.advance(SETTLED_MS)
    for (let send = 0; send < 2; send++) warmUp.recordSend(INSTANCE)
    clock.advance(1_200)
    expect(warmUp.isLimitReached(INSTANCE)).toBe(false)
  })

  // The servers of a zone whose drain ends may be cold, and their entries show it a heartbeat later.
  test('treats the servers of a zone as warming after its drain has ended', () => {
    const clock = createManualClock()
    const warmUp = createNode({ clock, self, members, registry: { warmUpLeftMs: () => 0, onChange: () => {}, all: () => [INSTANCE] }, zoneDrains: { endedAgoMs: () => clock.now() } })
    expect(warmUp.remainingMs(INSTANCE)).toBeGreaterThanOrEqual(WARM_UP_MS)
    clock.advance(2 * WARM_UP_MS)
    expect(warmUp.remainingMs(INSTANCE)).toBe(0)
  })

  test('treats no server as warming whose service has no warm-up', () => {
    const warmUp = createNode({ clock: createManualClock(), self, members })
    expect(warmUp.isLimitReached({ ...INSTANCE, service: 'plain' })).toBe(false)
  })
})
