/**
 * Simulates routers and model engines in one process on a manual clock. Membership,
 * load view, chat directory and server selection are the real modules over a peer
 * network in memory; the engines are those of the emulator.
 */
import { createSeededRandom } from '../../../adapters/seededRandom/index.js'
import type { LoadedCandidate } from '../../../decisions/computeLoadBounds/index.js'
import { createManualClock, type ManualClock } from '../../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../../emulator/createMemoryPeerNetwork/index.js'
import { createModelEngine, type ModelEngine } from '../../../emulator/createModelEngine/index.js'
import type { Configuration, PeerAddress, RandomSource } from '../../../types/index.js'
import { createBenchRouter, type BenchRouter } from './createBenchRouter.js'
import { createMeasurement, type Measurement } from './createMeasurement.js'
import { createWorkload, type Chat } from './createWorkload.js'
import type { Deployment } from './deployments.js'
import type { Policy } from './policies.js'

export type SimulationOptions = {
  readonly deployment: Deployment
  readonly policy: Policy
  readonly seed: number
  readonly warmUpMs: number
  readonly measuredMs: number
  readonly loadTarget?: number
  readonly heartbeatIntervalMs?: number
}

/** A model engine with its name; a replacement has a new name and an empty cache. */
export type BenchEngine = { readonly name: string, readonly engine: ModelEngine }

export type Simulation = {
  readonly clock: ManualClock
  readonly random: RandomSource
  readonly engines: () => readonly BenchEngine[]
  /** Removes an engine: it finishes its requests and gets no new ones; every router sees the change at once. */
  readonly removeEngine: (name: string) => void
  readonly addEngine: () => void
  /** Hides an engine from one router, as when routers have different lists of servers; `undefined` shows it again. */
  readonly hideEngine: (router: number, name: string | undefined) => void
  readonly routers: readonly BenchRouter[]
  readonly measurement: Measurement
  readonly run: () => Promise<void>
}

const SAMPLE_INTERVAL_MS = 100
const SETTLE_MS = 5_000
const LOCAL_DELAY_MS = 0.5

const composeConfiguration = (names: readonly string[], { availabilityZones, slots }: Deployment, generation: number): Configuration => ({
  generation,
  appliedBy: 'bench',
  appliedAt: 0,
  applyId: `bench-${generation}`,
  sheet: {
    clientAccounts: [],
    services: [],
    routes: [],
    plannedStops: [],
    backendServers: names.map((name, index) => ({ name, service: 'engines', url: `http://${name}`, availabilityZone: availabilityZones[index % availabilityZones.length]!, slots }))
  }
})

/**
 * Creates a simulation, not yet run.
 *
 * @param options - Deployment, policy, seed and times in milliseconds.
 * @returns The simulation; a scenario sets timers on its clock before `run`.
 */
export const createSimulation = (options: SimulationOptions): Simulation => {
  const { deployment, policy, seed } = options
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const workload = createWorkload(createSeededRandom(seed + 1), deployment)
  const zoneOf = (address: PeerAddress): string => address.host.split('/')[0] ?? ''
  const network = createMemoryPeerNetwork({
    clock,
    delayMs: (from, to) => zoneOf(from) === zoneOf(to) ? LOCAL_DELAY_MS : deployment.zoneDelayMs
  })
  const engines = new Map<string, BenchEngine>()
  const lastServedBy = new Map<string, string>()
  const hidden = new Map<number, string>()
  const measurement = createMeasurement(clock, { loadLimit: deployment.loadLimit, from: SETTLE_MS + options.warmUpMs })
  let engineCount = 0
  let configuration = composeConfiguration([], deployment, 0)

  const updateConfiguration = (): void => {
    configuration = composeConfiguration([...engines.keys()], deployment, configuration.generation + 1)
  }

  const addEngine = (): void => {
    const name = `engine-${engineCount++}`
    engines.set(name, { name, engine: createModelEngine(clock, { slots: deployment.slots, cacheTokens: deployment.cacheTokensPerEngine, decodeIntervalMs: deployment.decodeIntervalMs }) })
    updateConfiguration()
  }
  for (let index = 0; index < deployment.engines; index++) addEngine()

  const addresses = Array.from({ length: deployment.routers }, (_, index): PeerAddress => ({
    host: `${deployment.availabilityZones[index % deployment.availabilityZones.length] ?? ''}/${index}`,
    port: 1
  }))
  const routers = addresses.map((address, index) => createBenchRouter({
    clock,
    random: createSeededRandom(seed + 2 + index),
    network,
    address,
    availabilityZone: zoneOf(address),
    nodeId: `router-${index}`,
    seedPeers: addresses,
    readConfiguration: () => configuration,
    ...(options.heartbeatIntervalMs === undefined ? {} : { heartbeatIntervalMs: options.heartbeatIntervalMs })
  }))

  const readLoad = (engine: ModelEngine): number => {
    const { running, waiting } = engine.load()
    return running + waiting
  }

  const listCandidates = (routerIndex: number): readonly LoadedCandidate[] => [...engines.values()]
    .filter(({ name }) => hidden.get(routerIndex) !== name)
    .map(({ name, engine }) => ({
      name,
      weight: deployment.slots,
      inFlight: policy.hasExactState ? readLoad(engine) : routers[routerIndex]!.loadView.estimateInFlight(name)
    }))

  const findLastServer = async (router: BenchRouter, chat: Chat): Promise<string | undefined> => {
    if (!policy.usesLastServer || chat.turn === 1) return undefined
    return policy.hasExactState ? lastServedBy.get(chat.chatKey) : router.chatDirectory.lookUp(chat.chatKey)
  }

  const serveTurn = async (chat: Chat): Promise<void> => {
    const routerIndex = Math.floor(random.next() * routers.length)
    const router = routers[routerIndex]!
    const lastServer = await findLastServer(router, chat)
    const chosen = policy.selectServer({
      chatKey: chat.chatKey,
      isNewChat: chat.turn === 1,
      ...(lastServer === undefined ? {} : { hintedBackendServer: lastServer }),
      candidates: listCandidates(routerIndex),
      random,
      loadTarget: options.loadTarget ?? deployment.loadTarget,
      loadLimit: deployment.loadLimit
    })
    if (chosen === undefined) return measurement.countRefused()
    runTurn(chat, router, chosen.name)
  }

  const runTurn = (chat: Chat, router: BenchRouter, name: string): void => {
    const { engine } = engines.get(name)!
    router.loadView.recordStart(name)
    const startedAt = clock.now()
    const requestId = `${chat.chatKey}/${chat.turn}`
    const job = engine.submit({ requestId, clientAccount: chat.clientAccount, path: '/v1/chat/completions', messages: chat.messages, priority: 'interactive' })
    if (!job.ok) {
      router.loadView.recordEnd(name)
      return measurement.countRefused()
    }
    measurement.observePlacement([...engines.values()].map((other) => readLoad(other.engine)), readLoad(engine))
    let isFirst = true
    const stopListening = job.value.listen(() => {
      if (isFirst) measurement.observeFirstToken(clock.now() - startedAt, chat.turn > 1, job.value.usage())
      isFirst = false
      if (job.value.outcome() === undefined) return
      stopListening()
      router.loadView.recordEnd(name)
      lastServedBy.set(chat.chatKey, name)
      if (policy.usesLastServer && !policy.hasExactState) router.chatDirectory.store(chat.chatKey, name)
      scheduleNextTurn(chat, job.value.answer.text)
    })
  }

  const scheduleNextTurn = (chat: Chat, answer: string): void => {
    const next = workload.continueChat(chat, answer)
    if (next === undefined) return
    clock.setTimer(workload.drawPause(), () => { serveTurn(next) })
  }

  const scheduleArrival = (): void => {
    clock.setTimer(workload.drawArrival(), () => {
      serveTurn(workload.beginChat())
      scheduleArrival()
    })
  }

  const scheduleSample = (): void => {
    clock.setTimer(SAMPLE_INTERVAL_MS, () => {
      measurement.sampleLoads([...engines.values()].map(({ engine }) => readLoad(engine)))
      scheduleSample()
    })
  }

  return {
    clock,
    random,
    routers,
    measurement,
    engines: () => [...engines.values()],
    addEngine,
    removeEngine: (name) => {
      engines.delete(name)
      updateConfiguration()
    },
    hideEngine: (router, name) => {
      if (name === undefined) hidden.delete(router)
      else hidden.set(router, name)
    },
    run: async () => {
      for (const router of routers) await router.start()
      await clock.advanceAndSettle(SETTLE_MS)
      scheduleArrival()
      scheduleSample()
      await clock.advanceAndSettle(options.warmUpMs)
      const before = routers.map((router) => router.readControlBytes())
      await clock.advanceAndSettle(options.measuredMs)
      const sentBytes = routers.map((router, index) => router.readControlBytes() - (before[index] ?? 0))
      measurement.recordControlBytes(sentBytes.map((bytes) => bytes * 1000 / options.measuredMs))
    }
  }
}
