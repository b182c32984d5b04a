/**
 * Probes backend servers that have not answered a request yet. The load probes
 * don't cover this: a router probes only the servers of its own zone. At most
 * one probe per server is open and three per second are started, however many
 * requests wait, to stay within the budget for control traffic.
 */
import type { BackendClient, BackendServer, Clock } from '../../../types/index.js'

export type ReachabilityProbes = {
  /** Whether the latest probes of a server failed; starts the next probe when it is due. */
  readonly check: (backendServer: BackendServer) => boolean
}

type ProbeState = { readonly failures: number, readonly isRunning: boolean, readonly at: number }

const PROBE_TIMEOUT_MS = 1_000
const MAXIMUM_PROBES_PER_SECOND = 3
const FAILURES_UNTIL_UNREACHABLE = 2
/** Results older than this are ignored. */
const RESULT_LIFETIME_MS = 5_000

const NOT_PROBED: ProbeState = { failures: 0, isRunning: false, at: -Infinity }

export const createReachabilityProbes = (clock: Clock, backendClient: Pick<BackendClient, 'readLoad'>, intervalMs: number): ReachabilityProbes => {
  const states = new Map<string, ProbeState>()
  let currentSecond = { startedAt: -Infinity, probes: 0 }

  const takeProbeSlot = (now: number): boolean => {
    if (now - currentSecond.startedAt >= 1_000) currentSecond = { startedAt: now, probes: 0 }
    if (currentSecond.probes >= MAXIMUM_PROBES_PER_SECOND) return false
    currentSecond.probes += 1
    return true
  }

  const probe = async (backendServer: BackendServer, failures: number): Promise<void> => {
    states.set(backendServer.name, { failures, isRunning: true, at: clock.now() })
    const report = await backendClient.readLoad(backendServer.url, PROBE_TIMEOUT_MS)
    if (report.ok) states.delete(backendServer.name)
    else states.set(backendServer.name, { failures: failures + 1, isRunning: false, at: clock.now() })
  }

  return {
    check: (backendServer) => {
      const now = clock.now()
      const state = states.get(backendServer.name) ?? NOT_PROBED
      const isRecent = now - state.at < RESULT_LIFETIME_MS
      const failures = isRecent ? state.failures : 0
      const isDue = !state.isRunning && (state === NOT_PROBED || now - state.at >= intervalMs / 2)
      if (isDue && takeProbeSlot(now)) probe(backendServer, failures)
      return failures >= FAILURES_UNTIL_UNREACHABLE
    }
  }
}
