/**
 * Plays the requests of callers at real gateway nodes before emulated model engines, on
 * a manual clock: benchmarks and replay tests of hard load compare settings with it.
 */
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import type { EngineCapacity, GatewayConfiguration, GatewayRoute } from '../../types/index.js'
import { callerAccounts, createArrivals, MAXIMUM_ANSWER_TOKENS, requestKinds, type CallerArrival, type EnginePace, type LoadPattern } from '../createArrivals/index.js'
import { createEngineClients } from '../createEngineClients/index.js'
import { createInProcessFleet } from '../createInProcessFleet/index.js'
import { createManualClock } from '../createManualClock/index.js'
import { createModelEngine, type ModelEngine, type ModelEngineOptions } from '../createModelEngine/index.js'
import { createCaller, type CallOutcome } from './_lib/createCaller.js'

export type { CallOutcome } from './_lib/createCaller.js'

export type PlayOptions = {
  readonly seed: number
  readonly pattern: LoadPattern
  /** Work that arrives without the pattern, as a multiple of what the engines do. */
  readonly load: number
  /** `firstCome`: no admission control and one priority for all; `controlled`: both as configured. */
  readonly policy: 'firstCome' | 'controlled'
  readonly nodes: number
  readonly engines: number
  readonly durationMs: number
  /** When the pattern applies; the whole time by default. */
  readonly trouble?: { readonly fromMs: number, readonly toMs: number }
  /** How long work takes at an engine, as a multiple of the usual time; 1 by default. */
  readonly readSlowdown?: (engine: number, now: number) => number
}

const SERVICE = 'engines'
const ZONES = 2
const SHARED_PRIORITY = 5
const SETTLE_MS = 4_000
const STEP_MS = 50
const DELAY_MS = 1
/** Time after which the source has noticed that a server ended, in milliseconds. */
const NOTICE_MS = 1_000
const RETRY_ATTEMPTS = 3
const EVENT_GAP_TARGET_MS = 500

const CAPACITY: EngineCapacity = {
  slots: 16,
  memoryTokens: 40_000,
  bytesPerToken: 100_000,
  linkMbps: 10_000,
  canMove: false,
  canBackUp: false,
  copyLifetimeMs: 0,
  tokensPerEvent: 4
}

const ENGINE: Partial<ModelEngineOptions> = {
  slots: CAPACITY.slots,
  memoryTokens: CAPACITY.memoryTokens,
  maximumWaiting: 64,
  prefillTokensPerSecond: 10_000,
  readChunkTokens: 512,
  decodeIntervalMs: 16,
  decodeIntervalPerRequestMs: 1,
  loadLagMs: 200,
  graceMs: 0
}

/** Pace of one engine with a full batch: a step takes 31 ms and gives one token to each of 16 answers. */
export const enginePace: EnginePace = { promptMsPerToken: 0.1, answerMsPerToken: 31 / 16 }

const createRoutes = (policy: PlayOptions['policy']): readonly GatewayRoute[] => requestKinds.map(({ name, priority, latencyTargetMs, timeoutMs }) => ({
  name,
  host: 'model.example',
  pathPrefix: `/${name}/`,
  targets: [{ service: SERVICE, weight: 1 }],
  retryPolicy: 'stream',
  isResumable: true,
  timeoutMs,
  latencyTargetMs,
  eventGapTargetMs: EVENT_GAP_TARGET_MS,
  maximumAttempts: RETRY_ATTEMPTS,
  priority: policy === 'firstCome' ? SHARED_PRIORITY : priority,
  isPublic: true
}))

const CONFIGURATION: Partial<GatewayConfiguration> = {
  services: new Map([[SERVICE, { name: SERVICE, healthPath: '/', maximumConnections: 1_000, isModelService: true, engine: CAPACITY }]]),
  accountsByKey: new Map(callerAccounts.map(({ name }) => [name, { name }]))
}

const formatEngineName = (index: number): string => `engine-${String(index).padStart(3, '0')}`

/**
 * Plays one run until every caller has its answer or has left.
 *
 * @param options - Seed, load, pattern, policy and sizes.
 * @returns The outcome of each request of a caller; its repeats belong to it.
 *
 * @example
 * const outcomes = await playArrivals({ seed: 1, pattern: loadPatterns.steady, load: 3, policy: 'controlled', nodes: 4, engines: 4, durationMs: 10_000 })
 */
export const playArrivals = async (options: PlayOptions): Promise<readonly CallOutcome[]> => {
  const { seed, pattern, policy, nodes, engines: engineCount, durationMs } = options
  const trouble = options.trouble ?? { fromMs: 0, toMs: durationMs }
  const arrivals = createArrivals({ seed, pattern, load: options.load, engines: engineCount, pace: enginePace, durationMs, trouble })
  const arrivalsById = new Map(arrivals.map((arrival) => [arrival.requestId, arrival]))
  const clock = createManualClock()
  const engines = new Map<string, ModelEngine>(Array.from({ length: engineCount }, (_, index) =>
    [formatEngineName(index), createModelEngine(clock, { ...ENGINE, readSlowdown: () => options.readSlowdown?.(index, clock.now()) ?? 1 })]))
  const clients = createEngineClients({
    clock, engines, delayMs: DELAY_MS, tokensPerEvent: CAPACITY.tokensPerEvent, countAnswerTokens: ({ requestId }) => arrivalsById.get(requestId)?.answerTokens ?? 1
  })
  const fleet = createInProcessFleet({
    nodesPerZone: nodes / ZONES,
    zones: ZONES,
    random: createSeededRandom(seed).next,
    clock,
    createClient: clients.create,
    gatewayRoutes: createRoutes(policy),
    gatewayConfiguration: CONFIGURATION,
    settings: { controlsAdmission: policy === 'controlled' }
  })
  ;[...engines.keys()].forEach((id, index) => fleet.putInstance(id, { service: SERVICE, availabilityZone: `zone-${index % ZONES}`, slots: CAPACITY.slots }))
  await fleet.start()
  await clock.advanceAndSettle(SETTLE_MS)

  const outcomes: CallOutcome[] = []
  const caller = createCaller({ clock, maximumAnswerTokens: MAXIMUM_ANSWER_TOKENS, record: (outcome) => { outcomes.push(outcome) } })
  const selectNode = ({ draw }: CallerArrival) => fleet.nodes[Math.floor(draw * fleet.nodes.length)]!.resolve('forwarding')
  for (const arrival of arrivals) clock.setTimer(arrival.at, () => caller.call(arrival, selectNode(arrival)))

  const loseEngines = (): void => {
    for (const id of [...engines.keys()].slice(0, Math.floor(engineCount * (pattern.lostShare ?? 0)))) {
      clients.breakDown(id)
      clock.setTimer(NOTICE_MS, () => fleet.removeInstance(id))
    }
  }
  clock.setTimer(trouble.fromMs, loseEngines)

  while (outcomes.length < arrivals.length) await clock.advanceAndSettle(STEP_MS)
  await fleet.stop()
  return outcomes
}
