/**
 * Simulates bursts of requests with shared prompt prefixes at a fleet of gateway
 * nodes on a manual clock, while engines are added and leave. Counts the requests
 * that reach an engine whose load is above the promised multiple of the mean. Nodes
 * learn of each other's requests with the same delay as in a real fleet.
 */
import { createSeededRandom } from '../../../adapters/seededRandom/index.js'
import { createInProcessFleet, type InProcessFleet } from '../../../emulator/createInProcessFleet/index.js'
import { describeEngines } from '../../../emulator/describeEngines/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import { selectAtNode } from '../../../emulator/selectAtNode/index.js'
import type { GatewayNode } from '../../../node/createGatewayNode/index.js'
import { countSentTokens } from '../../../services/serverWork/index.js'
import type { BackendInstance, EngineCapacity, GatewayRequest, PromptPart } from '../../../types/index.js'

export type BurstOptions = {
  readonly seed: number
  readonly nodesPerZone: number
  readonly zones: number
  readonly engines: number
  /** Engines that are added during the simulation, one after the other. */
  readonly addedEngines: number
  /** Engines that begin to leave during the simulation, one after the other; each serves until the end. */
  readonly leavingEngines: number
  readonly requestsPerSecond: number
  /** Number of shared prompt prefixes; each request has one of them. */
  readonly subjects: number
  /** Skew towards the first subjects: at 0 all are equally frequent, at 1 the first tenth gets a third of the requests. */
  readonly skew: number
  /** Mean time in milliseconds that a request is in flight at its engine. */
  readonly holdMs: number
  readonly simulatedMs: number
}

export type BurstOutcome = {
  readonly requests: number
  /** Requests whose engine was over the limit when they arrived. */
  readonly overLimit: number
  /** Highest share of requests over the limit in any window of five seconds. */
  readonly worstShare: number
  /** Tokens of shared prefixes that the selected engine did not have in its cache and had to prefill. */
  readonly prefilledTokens: number
}

/** The promised limit on the load of an engine: this multiple of the mean, plus LOAD_SLACK requests. */
const LOAD_FACTOR = 2
const LOAD_SLACK = 3
const SLOTS = 16
const SHARED_TOKENS = 8_000
const OWN_TOKENS = 500
const OUTPUT_TOKENS = 300
const ENGINE: EngineCapacity = { slots: SLOTS, memoryTokens: 400_000, bytesPerToken: 100_000, linkMbps: 100_000, canMove: false, canBackUp: false, copyLifetimeMs: 0, tokensPerEvent: 5 }
/** Share of a request's time until its answer begins. */
const FIRST_BYTE_SHARE = 0.3
const SETTLE_MS = 6_000
const STEP_MS = 5
const WINDOW_MS = 5_000
const MS_PER_SECOND = 1_000

const createParts = (subject: number, request: number): readonly PromptPart[] =>
  [{ id: `subject-${subject}`, tokens: SHARED_TOKENS }, { id: `own-${request}`, tokens: OWN_TOKENS }]

const createRequest = (id: number, subject: number, now: number): GatewayRequest => ({
  requestId: String(id),
  method: 'POST',
  host: 'shop.example',
  target: '/',
  headers: [],
  credential: undefined,
  callerTimeoutMs: undefined,
  lastEventId: undefined,
  promptParts: createParts(subject, id),
  tokens: { prompt: SHARED_TOKENS + OWN_TOKENS, output: OUTPUT_TOKENS },
  receivedAt: now
})

const selectServer = (node: GatewayNode, request: GatewayRequest, random: () => number): BackendInstance | undefined =>
  selectAtNode(node, { request, service: 'engines', bodyBytes: SHARED_TOKENS, tried: new Set(), allowedRegions: [] }, { random, loadFactor: LOAD_FACTOR })

type Arrival = { readonly at: number, readonly isOver: boolean }

const computeWorstShare = (arrivals: readonly Arrival[]): number => {
  let worst = 0
  for (let from = 0; from < (arrivals.at(-1)?.at ?? 0); from += MS_PER_SECOND) {
    const inWindow = arrivals.filter(({ at }) => at >= from && at < from + WINDOW_MS)
    if (inWindow.length > 0) worst = Math.max(worst, inWindow.filter(({ isOver }) => isOver).length / inWindow.length)
  }
  return worst
}

const formatEngineName = (index: number): string => `engine-${String(index).padStart(3, '0')}`

/** Tracks the exact loads and caches of the engines, apart from the estimates of the nodes. */
const createEngineTracker = (fleet: InProcessFleet, zones: number) => {
  const inFlightByEngine = new Map<string, number>()
  const cachedSubjects = new Set<string>()
  return {
    add: (index: number): void => {
      const id = formatEngineName(index)
      fleet.putInstance(id, { availabilityZone: `zone-${index % zones}`, slots: SLOTS })
      inFlightByEngine.set(`${id}@1`, 0)
    },
    isOver: (key: string): boolean => {
      const mean = [...inFlightByEngine.values()].reduce((sum, count) => sum + count, 0) / inFlightByEngine.size
      return (inFlightByEngine.get(key) ?? 0) + 1 > LOAD_FACTOR * mean + LOAD_SLACK
    },
    startLeaving: (index: number): void => { fleet.putInstance(formatEngineName(index), { availabilityZone: `zone-${index % zones}`, slots: SLOTS, isLeaving: true }) },
    change: (key: string, difference: number): void => { inFlightByEngine.set(key, (inFlightByEngine.get(key) ?? 0) + difference) },
    /** Returns whether the engine has the subject cached, and caches it. */
    cacheSubject: (key: string, subject: number): boolean => {
      const cacheKey = `${key} ${subject}`
      const wasCached = cachedSubjects.has(cacheKey)
      cachedSubjects.add(cacheKey)
      return wasCached
    }
  }
}

/**
 * Runs the simulation.
 *
 * @param options - Sizes, rates and times in milliseconds.
 * @returns The number of requests, and those that reached an engine over the limit.
 *
 * @example
 * (await simulateBurst(options)).worstShare // => 0.01
 */
export const simulateBurst = async (options: BurstOptions): Promise<BurstOutcome> => {
  const random = createSeededRandom(options.seed).next
  const fleet = createInProcessFleet({ nodesPerZone: options.nodesPerZone, zones: options.zones, random, gatewayConfiguration: { services: describeEngines(ENGINE) } })
  const engines = createEngineTracker(fleet, options.zones)
  for (let index = 0; index < options.engines; index++) engines.add(index)
  await fleet.start()
  await fleet.clock.advanceAndSettle(SETTLE_MS)
  const arrivals: Arrival[] = []
  const startedAt = fleet.clock.now()
  let prefilledTokens = 0
  let addedCount = 0
  let leavingCount = 0

  const arrive = (): void => {
    const node = fleet.nodes[Math.floor(random() * fleet.nodes.length)]!
    const subject = Math.floor(options.subjects * random() ** (1 + options.skew))
    const request = createRequest(arrivals.length, subject, fleet.clock.now())
    const instance = selectServer(node, request, random)
    if (instance === undefined) return
    const key = formatInstanceKey(instance)
    arrivals.push({ at: fleet.clock.now() - startedAt, isOver: engines.isOver(key) })
    if (!engines.cacheSubject(key, subject)) prefilledTokens += SHARED_TOKENS
    engines.change(key, 1)
    node.resolve('loadView').recordStart(key)
    const cachedTokens = node.resolve('promptDirectory').listCachedTokens(request.promptParts.slice(0, -1)).get(key) ?? 0
    const sent = node.resolve('serverWork').recordSend(instance, countSentTokens(request, cachedTokens))
    node.resolve('promptDirectory').record(request.promptParts, key)
    const holdMs = -options.holdMs * Math.log(1 - random())
    fleet.clock.setTimer(FIRST_BYTE_SHARE * holdMs, () => sent.recordFirstBytes(true))
    fleet.clock.setTimer(holdMs, () => {
      sent.recordEnd()
      engines.change(key, -1)
      node.resolve('loadView').recordEnd(key)
    })
  }

  let due = 0
  while (fleet.clock.now() - startedAt < options.simulatedMs) {
    await fleet.clock.advanceAndSettle(STEP_MS)
    const share = (fleet.clock.now() - startedAt) / options.simulatedMs
    while (addedCount < Math.floor(share * options.addedEngines)) engines.add(options.engines + addedCount++)
    while (leavingCount < Math.floor(share * options.leavingEngines)) engines.startLeaving(leavingCount++)
    for (due += options.requestsPerSecond * STEP_MS / MS_PER_SECOND; due >= 1; due--) arrive()
  }
  await fleet.stop()
  return { requests: arrivals.length, overLimit: arrivals.filter(({ isOver }) => isOver).length, worstShare: computeWorstShare(arrivals), prefilledTokens }
}
