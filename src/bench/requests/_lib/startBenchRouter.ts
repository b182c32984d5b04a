/** The request path of a router: listener, dispatch and client, with nothing to decide. */
import { createHash } from 'node:crypto'
import { createBackendHttp } from '../../../adapters/backendHttp/index.js'
import { createCallerHttp } from '../../../adapters/callerHttp/index.js'
import { createSystemClock } from '../../../adapters/systemClock/index.js'
import { createSystemRandom } from '../../../adapters/systemRandom/index.js'
import { success } from '../../../kernel/index.js'
import { createDispatch } from '../../../services/dispatch/index.js'
import type { BackendServer, Configuration, Route } from '../../../types/index.js'
import { BENCH_KEY, BENCH_MODEL } from './messages.js'

export type BenchRouter = { readonly port: number, readonly close: () => Promise<void> }

const MAXIMUM_BODY_BYTES = 4_000_000
const ignore = (): void => {}

const createRoute = (name: string, route: Partial<Route>): Route =>
  ({ name, service: 'bench', repeatable: true, backendIdempotent: false, deadlineSeconds: 120, priority: 'interactive', ...route })

const createConfiguration = (backendServer: BackendServer): Configuration => ({
  generation: 1,
  appliedBy: 'bench',
  appliedAt: 0,
  applyId: 'bench',
  sheet: {
    clientAccounts: [{ name: 'bench', weight: 1, keyHashes: [createHash('sha256').update(BENCH_KEY).digest('hex')] }],
    services: [],
    backendServers: [backendServer],
    routes: [createRoute('chat', { model: BENCH_MODEL }), createRoute('stock', { path: '/stock' })],
    plannedStops: []
  }
})

export const startBenchRouter = async (backendPort: number): Promise<BenchRouter> => {
  const backendServer: BackendServer = { name: 'bench-1', service: 'bench', url: `http://127.0.0.1:${backendPort}`, availabilityZone: 'bench', slots: 1_000 }
  const configuration = createConfiguration(backendServer)
  const common = { clock: createSystemClock(), random: createSystemRandom(), logger: { error: console.error, warn: ignore, info: ignore, debug: ignore } }
  const backendClient = createBackendHttp({ connectTimeoutMs: 5_000, answerIdleTimeoutMs: 30_000 })
  const { api: dispatch } = createDispatch({
    ...common,
    backendClient,
    metrics: { count: ignore, observe: ignore, readGauge: ignore },
    configuration: { current: () => configuration, generation: () => 1, onChange: ignore, pending: () => undefined },
    admission: { admit: async () => success({ finish: ignore }), usage: () => [], mergeUsage: ignore },
    claims: { claim: async () => ({ kind: 'unavailable', message: 'not in this bench' }), release: async () => {}, complete: async () => {} },
    placement: { choose: () => ({ kind: 'chosen', backendServer }) },
    loadView: { recordStart: ignore, recordEnd: ignore, estimateInFlight: () => 0, ownInFlight: () => 0, applyReport: ignore },
    backendHealth: {
      status: (name) => ({ backendServer: name, state: 'live', weightShare: 1, inFlight: 0, ownInFlight: 0 }),
      statuses: () => [],
      recordAttempt: ignore,
      markLeaving: ignore,
      leavingMarks: () => [],
      mergeLeavingMarks: ignore
    },
    chatDirectory: { lookUp: async () => undefined, store: ignore }
  }, { fleetKey: 'bench', retryShare: 0.1, maximumAttempts: 3 })
  const callerHttp = createCallerHttp({ ...common, dispatch }, { host: '127.0.0.1', port: 0, maximumBodyBytes: MAXIMUM_BODY_BYTES })
  const { port } = await callerHttp.listen()
  return {
    port,
    close: async () => {
      await callerHttp.close()
      await backendClient.close()
    }
  }
}
