/**
 * Compares two policies that divide the request rate of a warming server between nodes
 * without coordination: a few highest-ranked nodes with fixed shares, as
 * `services/warmUpLimiter` does, and all nodes with an equal share, each in a token
 * bucket. Load pattern: every node has a request for the server at any moment.
 */
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { computeWarmUpShares } from '../../decisions/computeWarmUpShares/index.js'
import { rankMembers } from '../../decisions/rankMembers/index.js'
import type { Member } from '../../types/index.js'
import type { Bench, Cell } from '../types.js'
import { round } from '../_lib/statistics.js'

const BOUND = { requestsPerSecond: 9.8, excess: 1.5, slack: 5 }
const SIZES = [3, 9, 70, 200, 360]
const FAST_SIZES = SIZES.slice(0, 3)
const SECONDS = 20
const STEP_MS = 20
const WINDOW_MS = 1_000
/** The window that a node applies to its own sends: a tenth longer, as a send may be delayed while it waits for the processor. */
const OWN_WINDOW_MS = 1_100
const FREEZES_PER_STEP = 0.002
const MAXIMUM_FREEZE_MS = 3_000
const MS_PER_SECOND = 1_000

type Random = () => number

/** Returns whether a node may send now, and records the send if so. */
type Sender = (now: number) => boolean

type SharingPolicy = (self: Member, known: readonly Member[]) => Sender

const shareByRank: SharingPolicy = (self, known) => {
  const { nodes, requestsPerNode: requestsEach } = computeWarmUpShares(BOUND)
  const isSender = rankMembers('server', known, nodes).includes(self)
  let sends: number[] = []
  return (now) => {
    if (!isSender) return false
    sends = sends.filter((at) => at > now - OWN_WINDOW_MS)
    if (sends.length >= requestsEach) return false
    sends.push(now)
    return true
  }
}

const shareEqually: SharingPolicy = (_self, known) => {
  const perMs = BOUND.requestsPerSecond / known.length / MS_PER_SECOND
  let availableSends = 0
  let refilledAt = 0
  return (now) => {
    availableSends = Math.min(1, availableSends + (now - refilledAt) * perMs)
    refilledAt = now
    if (availableSends < 1) return false
    availableSends -= 1
    return true
  }
}

const SHARING_POLICIES: Readonly<Record<string, SharingPolicy>> = { 'few by rank': shareByRank, 'equal parts saved up': shareEqually }

type View = (members: readonly Member[], self: Member, random: Random) => readonly Member[]

const VIEWS: Readonly<Record<string, View>> = {
  'all known': (members) => members,
  'a third unknown': (members, self, random) => members.filter((member) => member === self || random() > 1 / 3),
  'halves that never met': (members, self) => members.filter((member) => members.indexOf(member) % 2 === members.indexOf(self) % 2)
}

const createMember = (index: number): Member =>
  ({ nodeId: `node-${index}`, incarnation: 1, address: { host: `node-${index}`, port: 1 }, availabilityZone: 'zone', state: 'live', generation: 1 })

const countMaximumPerSecond = (sends: readonly number[]): number => {
  let most = 0
  let first = 0
  for (const [index, at] of sends.entries()) {
    while (sends[first]! <= at - WINDOW_MS) first += 1
    most = Math.max(most, index - first + 1)
  }
  return most
}

const simulate = (size: number, policy: SharingPolicy, view: View, seed: number): readonly Cell[] => {
  const random = createSeededRandom(seed).next
  const members = Array.from({ length: size }, (_, index) => createMember(index))
  const nodes = members.map((self) => ({ maySend: policy(self, view(members, self, random)), frozenUntil: 0 }))
  const sends: number[] = []
  for (let now = 0; now < SECONDS * MS_PER_SECOND; now += STEP_MS) {
    for (const node of nodes) {
      if (random() < FREEZES_PER_STEP) node.frozenUntil = now + MAXIMUM_FREEZE_MS * random()
      if (now >= node.frozenUntil && node.maySend(now)) sends.push(now)
    }
  }
  return [countMaximumPerSecond(sends), round(sends.length / SECONDS, 1)]
}

/** Runs the benchmark; returns one table with the highest number of requests in any second and the mean per second, by fleet size and view. */
export const runWarmUpBench: Bench = async ({ fast, seed }) => [{
  title: `A warming server that may get ${round(BOUND.requestsPerSecond * BOUND.excess + BOUND.slack, 1)} requests in any second and bears ${BOUND.requestsPerSecond}`,
  columns: ['nodes', 'view', ...Object.keys(SHARING_POLICIES).flatMap((name) => [`${name}: most in a second`, 'mean a second'])],
  rows: (fast ? FAST_SIZES : SIZES).flatMap((size) => Object.entries(VIEWS).map(([name, view]) =>
    [size, name, ...Object.values(SHARING_POLICIES).flatMap((policy) => simulate(size, policy, view, seed))]))
}]
