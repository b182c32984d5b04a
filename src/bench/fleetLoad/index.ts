/**
 * Runs the load tool against a fleet of real processes of about the size of a
 * small site: six routers, six model engines and three plain services.
 */
import { round } from '../_lib/statistics.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import type { LoadSummary } from '../../load/createLoadRecorder/index.js'
import { DEFAULT_LOAD_PLAN, planLoad } from '../../load/planLoad/index.js'
import { runLoad } from '../../load/runLoad/index.js'
import { startBenchEnvironment, type BenchEnvironment } from '../_lib/startBenchEnvironment.js'
import type { Bench, Cell } from '../types.js'

const ENVIRONMENT = {
  routers: 6,
  engines: 6,
  services: 3,
  accounts: 10,
  slots: 16,
  engineFlags: ['--decode-interval', '15', '--decode-interval-per-request', '0.5', '--cache-tokens', '100000']
}
const RATES: readonly number[] = [30, 60]
const FAST_SECONDS = 15
const FULL_SECONDS = 60
const TIMEOUT_MS = 60_000
const MAXIMUM_OPEN = 2000

/**
 * Runs the same seeded load at two rates, with and without the chat hint.
 *
 * Each run starts a new fleet, so that all begin with empty caches.
 *
 * @param options - `fast` sends for 15 s instead of 60 s per run.
 * @returns A table of outcomes and latencies of the callers, and one of cache use and load skew of the engines.
 *
 * @example
 * await runFleetLoadBench({ fast: true, seed: 1 })
 */
export const runFleetLoadBench: Bench = async ({ fast, seed }) => {
  const callers: Cell[][] = []
  const engines: Cell[][] = []
  const seconds = fast ? FAST_SECONDS : FULL_SECONDS
  for (const rate of RATES) {
    for (const sendChatHints of [true, false]) {
      const summary = await runInNewEnvironment(rate, sendChatHints, seconds, seed)
      const title = [rate, sendChatHints ? 'yes' : 'no']
      callers.push([...title, ...describeCallers(summary)])
      engines.push([...title, ...describeEngines(summary)])
    }
  }
  return [
    { title: `what callers see (ms), ${seconds} s a run`, columns: ['requests/s', 'hint', 'sent', 'complete', 'refused', 'broken or wrong', 'first token p50', 'p95', 'between tokens p95', 'plain call p95'], rows: callers },
    { title: 'how the engines are used', columns: ['requests/s', 'hint', 'prompt tokens cached', 'returning chats cached', 'of', 'fullest over mean p50', 'p99', 'max', 'samples'], rows: engines }
  ]
}

const runInNewEnvironment = async (rate: number, sendChatHints: boolean, seconds: number, seed: number): Promise<LoadSummary> => {
  const environment = await startBenchEnvironment(ENVIRONMENT)
  try {
    return await sendLoad(environment, rate, sendChatHints, seconds, seed)
  } finally {
    await environment.stop()
  }
}

const sendLoad = (environment: BenchEnvironment, rate: number, sendChatHints: boolean, seconds: number, seed: number): Promise<LoadSummary> => {
  const plan = planLoad({ ...DEFAULT_LOAD_PLAN, rate, durationMs: seconds * 1000, accounts: environment.keys.length }, createSeededRandom(seed))
  return runLoad(plan, {
    clock: createSystemClock(),
    routers: environment.routers.map(({ callerUrl }) => callerUrl),
    keys: environment.keys,
    sendChatHints,
    timeoutMs: TIMEOUT_MS,
    maximumOpen: MAXIMUM_OPEN
  })
}

const describeCallers = ({ sent, outcomes, latencies }: LoadSummary): readonly Cell[] => [
  sent,
  outcomes.complete,
  outcomes.refusedNotRun + outcomes.refusedUnknown,
  outcomes.broken + outcomes.wrong,
  round(latencies.firstToken.p50),
  round(latencies.firstToken.p95),
  round(latencies.betweenTokens.p95),
  round(latencies.plainCall.p95)
]

const describeEngines = ({ cache, skew }: LoadSummary): readonly Cell[] => [
  round(cache.tokenShare),
  round(cache.requestShare),
  cache.returning,
  round(skew.p50),
  round(skew.p99),
  round(skew.max),
  skew.samples
]
