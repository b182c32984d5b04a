/** Runs one simulation of the fairness benchmark: three routers in front of one pool of engines, on a manual clock. */
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import { createAdmission, defaultAdmissionOptions } from '../../../services/admission/index.js'
import type { Admission, Clock, Configuration } from '../../../types/index.js'
import { createFirstComeFirstServedAdmission } from './createFirstComeFirstServedAdmission.js'
import { accounts } from './workload.js'
import type { Arrival } from './workload.js'

/** Returns the index of the router that a request reaches, given its position in the order of arrival. */
export type Balancer = (arrival: Arrival, index: number) => number

export type Policy = 'fair' | 'fairAlone' | 'firstCome'

/** Outcome of one request; times in milliseconds. */
export type RequestMeasurement = {
  readonly arrival: Arrival
  readonly outcome: 'complete' | 'refused'
  readonly firstTokenMs: number
}

const ROUTERS = 3

/** Spreads requests over all routers in round-robin order. */
export const balanceRoundRobin: Balancer = (_arrival, index) => index % ROUTERS

const SLOTS = 48
const PREFILL_MS_PER_TOKEN = 0.5
const DECODE_MS_PER_TOKEN = 30
const DEADLINE_MS = 20_000
/** Intervals at which routers exchange their counts of requests in flight and the usage of accounts. */
const COUNT_INTERVAL_MS = 250
const USAGE_INTERVAL_MS = 1_000
const STEP_MS = 5
const SERVICE = 'desk'
/** Output tokens that a router assumes for an answer of unknown length. */
const EXPECTED_OUTPUT_TOKENS = 100

type Router = { readonly admission: Admission, inFlight: number, publishedInFlight: number }

const configuration: Configuration = {
  generation: 1,
  appliedBy: 'bench',
  appliedAt: 0,
  applyId: 'bench',
  sheet: {
    clientAccounts: accounts.map(({ name, weight }) => ({ name, weight, keyHashes: [] })),
    services: [],
    backendServers: [],
    routes: [],
    plannedStops: []
  }
}

const createRouters = (clock: Clock, policy: Policy): readonly Router[] => {
  const routers: Router[] = []
  for (let index = 0; index < ROUTERS; index += 1) {
    const countSlots = (): number => {
      const others = routers.filter((_, other) => other !== index)
      return Math.max(0, SLOTS - others.reduce((sum, router) => sum + router.publishedInFlight, 0))
    }
    const admission = policy === 'firstCome'
      ? createFirstComeFirstServedAdmission(clock, countSlots, defaultAdmissionOptions.maximumQueued, defaultAdmissionOptions.pollIntervalMs)
      : createAdmission({ clock, configuration: { current: () => configuration }, countSlots }).api
    routers.push({ admission, inFlight: 0, publishedInFlight: 0 })
  }
  return routers
}

const exchangeCounts = (clock: Clock, routers: readonly Router[]): void => {
  for (const router of routers) router.publishedInFlight = router.inFlight
  clock.setTimer(COUNT_INTERVAL_MS, () => { exchangeCounts(clock, routers) })
}

const exchangeUsage = (clock: Clock, routers: readonly Router[]): void => {
  for (const [index, router] of routers.entries()) {
    const usage = router.admission.usage()
    for (const other of routers) if (other !== router) other.admission.mergeUsage(`router-${index}`, usage)
  }
  clock.setTimer(USAGE_INTERVAL_MS, () => { exchangeUsage(clock, routers) })
}

const simulateRequest = async (clock: Clock, router: Router, arrival: Arrival, record: (served: RequestMeasurement) => void): Promise<void> => {
  const arrivedAt = clock.now()
  const admitted = await router.admission.admit({
    clientAccount: arrival.account.name,
    service: SERVICE,
    tokens: arrival.promptTokens + EXPECTED_OUTPUT_TOKENS,
    overnight: false,
    deadlineAt: arrivedAt + DEADLINE_MS,
    signal: new AbortController().signal
  })
  if (!admitted.ok) return record({ arrival, outcome: 'refused', firstTokenMs: clock.now() - arrivedAt })
  router.inFlight += 1
  const prefillMs = arrival.promptTokens * PREFILL_MS_PER_TOKEN
  const firstTokenMs = clock.now() - arrivedAt + prefillMs
  await new Promise<void>((resolve) => { clock.setTimer(prefillMs + arrival.outputTokens * DECODE_MS_PER_TOKEN, resolve) })
  router.inFlight -= 1
  admitted.value.finish(arrival.promptTokens + arrival.outputTokens)
  record({ arrival, outcome: 'complete', firstTokenMs })
}

/**
 * Runs all arrivals under one policy until each request has an outcome.
 *
 * @param arrivals - Requests in order of time.
 * @param policy - Order in which waiting requests are admitted.
 * @param balance - Selects the router of a request.
 * @returns The outcome of each request.
 */
export const runTrial = async (arrivals: readonly Arrival[], policy: Policy, balance: Balancer = balanceRoundRobin): Promise<readonly RequestMeasurement[]> => {
  const clock = createManualClock()
  const routers = createRouters(clock, policy)
  const served: RequestMeasurement[] = []
  exchangeCounts(clock, routers)
  if (policy === 'fair') exchangeUsage(clock, routers)
  for (const [index, arrival] of arrivals.entries()) {
    clock.setTimer(arrival.at, () => { simulateRequest(clock, routers[balance(arrival, index)]!, arrival, (result) => { served.push(result) }) })
  }
  while (served.length < arrivals.length) await clock.advanceAndSettle(STEP_MS)
  return served
}
