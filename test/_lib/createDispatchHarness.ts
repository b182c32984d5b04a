/**
 * Runs dispatch with the real caller listener and the real backend HTTP client;
 * the services it depends on are replaced by fakes that record their calls.
 */
import { createHash } from 'node:crypto'
import { createBackendHttp } from '../../src/adapters/backendHttp/index.js'
import { createCallerHttp, type CallerHttpOptions } from '../../src/adapters/callerHttp/index.js'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { createSystemClock } from '../../src/adapters/systemClock/index.js'
import { failure, success } from '../../src/kernel/index.js'
import { createDispatch, type DispatchDependencies, type DispatchOptions } from '../../src/services/dispatch/index.js'
import type {
  AdmissionRefusal, BackendClient, BackendServer, ClaimOutcome, Configuration, Dispatch, Logger, Metrics, Route, StoredAnswer
} from '../../src/types/index.js'

export const CALLER_KEY = 'sk-test'
export const MODEL = 'm'

const SILENT_LOGGER: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const NO_METRICS: Metrics = { count: () => {}, observe: () => {}, readGauge: () => {} }

const createRoute = (route: Partial<Route> & Pick<Route, 'name' | 'service'>): Route =>
  ({ repeatable: true, backendIdempotent: false, deadlineSeconds: 20, priority: 'interactive', ...route })

export const createConfiguration = (origins: readonly string[]): Configuration => {
  const backendServers = origins.map((url, index): BackendServer =>
    ({ name: `backend-${index + 1}`, service: 'all', url, availabilityZone: 'zone-a', slots: 8 }))
  return {
    generation: 1,
    appliedBy: 'test',
    appliedAt: 0,
    applyId: 'a',
    sheet: {
      clientAccounts: [{ name: 'shop', weight: 1, keyHashes: [createHash('sha256').update(CALLER_KEY).digest('hex')] }],
      services: [{ name: 'all', kind: 'model', loadLimit: 1.5, loadTarget: 1.25 }],
      backendServers,
      routes: [
        createRoute({ name: 'chat', service: 'all', model: MODEL }),
        createRoute({ name: 'agent', service: 'all', model: 'agent', repeatable: false }),
        createRoute({ name: 'stock', service: 'all', path: '/stock' }),
        createRoute({ name: 'orders', service: 'all', path: '/stock/orders', repeatable: false }),
        createRoute({ name: 'settlements', service: 'all', path: '/settlements', repeatable: false, backendIdempotent: true })
      ],
      plannedStops: []
    }
  }
}

/** Calls that the fakes recorded. */
export type RecordedCalls = {
  readonly started: string[]
  readonly ended: string[]
  readonly outcomes: string[]
  readonly marked: string[]
  readonly released: string[]
  readonly completed: StoredAnswer[]
  readonly stored: string[]
  readonly hints: (string | undefined)[]
  finishedTickets: number
}

export type HarnessOptions = {
  readonly origins: readonly string[]
  readonly configuration?: Configuration | undefined
  readonly dispatch?: Partial<DispatchOptions>
  readonly callerHttp?: Partial<CallerHttpOptions>
  readonly claimOutcome?: ClaimOutcome
  readonly admissionRefusal?: AdmissionRefusal
  readonly directoryEntry?: string
  /** Backend servers that no longer answer load probes. */
  readonly unreachable?: readonly string[]
  /** Replaces the real backend HTTP client. */
  readonly backendClient?: BackendClient
}

export type TestDispatch = {
  readonly dispatch: Dispatch
  readonly recorded: RecordedCalls
  readonly dependencies: DispatchDependencies
}

export type DispatchHarness = TestDispatch & {
  readonly url: string
  readonly close: () => Promise<void>
}

const createFakes = (options: HarnessOptions, configuration: Configuration | undefined, recorded: RecordedCalls): Omit<DispatchDependencies, 'clock' | 'random' | 'backendClient' | 'logger' | 'metrics'> => ({
  configuration: { current: () => configuration, generation: () => 1, onChange: () => {}, pending: () => undefined },
  admission: {
    admit: async () => options.admissionRefusal === undefined ? success({ finish: () => { recorded.finishedTickets += 1 } }) : failure(options.admissionRefusal),
    usage: () => [],
    mergeUsage: () => {}
  },
  claims: {
    claim: async () => options.claimOutcome ?? { kind: 'granted', claimId: 'claim-1' },
    release: async (_key, claimId) => { recorded.released.push(claimId) },
    complete: async (_key, _claimId, answer) => { recorded.completed.push(answer) }
  },
  placement: {
    recordHoldTime: () => {},
    choose: ({ hintedBackendServer, excluded }) => {
      recorded.hints.push(hintedBackendServer)
      const left = (configuration?.sheet.backendServers ?? []).filter(({ name }) => !excluded.has(name))
      const backendServer = left.find(({ name }) => name === hintedBackendServer) ?? left[0]
      return backendServer === undefined ? { kind: 'none', reason: 'noBackendServer', retryAfterMs: 700 } : { kind: 'chosen', backendServer }
    }
  },
  loadView: {
    recordStart: (name) => { recorded.started.push(name) },
    recordEnd: (name) => { recorded.ended.push(name) },
    estimateInFlight: () => 0,
    ownInFlight: () => 0,
    readSource: () => undefined,
    applyReport: () => {},
  },
  backendHealth: {
    status: (backendServer) => ({ backendServer, state: options.unreachable?.includes(backendServer) === true ? 'unreachable' : 'live', weightShare: 1, inFlight: 0, ownInFlight: 0 }),
    statuses: () => [],
    recordAttempt: (name, outcome) => { recorded.outcomes.push(`${name} ${outcome}`) },
    markLeaving: (name) => { recorded.marked.push(name) },
    leavingMarks: () => [],
    mergeLeavingMarks: () => {}
  },
  chatDirectory: {
    lookUp: async () => options.directoryEntry,
    store: (_chatKey, name) => { recorded.stored.push(name) }
  }
})

/** Creates dispatch with its fakes, without a caller listener. */
export const createTestDispatch = (options: HarnessOptions): TestDispatch => {
  const configuration = 'configuration' in options ? options.configuration : createConfiguration(options.origins)
  const recorded: RecordedCalls = { started: [], ended: [], outcomes: [], marked: [], released: [], completed: [], stored: [], hints: [], finishedTickets: 0 }
  const dependencies: DispatchDependencies = {
    clock: createSystemClock(),
    random: createSeededRandom(7),
    logger: SILENT_LOGGER,
    metrics: NO_METRICS,
    backendClient: options.backendClient ?? createBackendHttp({ connectTimeoutMs: 2_000, answerIdleTimeoutMs: 30_000 }),
    ...createFakes(options, configuration, recorded)
  }
  const { api: dispatch } = createDispatch(dependencies, { fleetKey: 'fleet', retryShare: 0.1, maximumAttempts: 3, baseDelayMs: 2, ...options.dispatch })
  return { dispatch, recorded, dependencies }
}

export const createDispatchHarness = async (options: HarnessOptions): Promise<DispatchHarness> => {
  const { dispatch, recorded, dependencies } = createTestDispatch(options)
  const { clock, random, logger, backendClient } = dependencies
  const callerHttp = createCallerHttp({ dispatch, clock, random, logger }, { host: '127.0.0.1', port: 0, maximumBodyBytes: 100_000, ...options.callerHttp })
  const { port } = await callerHttp.listen()
  return {
    url: `http://127.0.0.1:${port}`,
    dispatch,
    recorded,
    dependencies,
    close: async () => {
      await dispatch.whenIdle()
      await callerHttp.close()
      await backendClient.close()
    }
  }
}
