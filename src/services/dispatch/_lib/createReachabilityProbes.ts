/**
 * Probes backend servers that have not answered a request yet. The load probes
 * don't cover this: a router probes only the servers of its own zone. At most
 * one probe a server is open and three a second are started, however many
 * requests wait, to stay within the budget for control traffic.
 */
import type { BackendClient, BackendServer, Clock } from '../../../types/index.js'

export type ReachabilityProbes = {
  /** Whether the latest probes of a server failed; starts the next probe when it is due. */
  readonly check: (backendServer: BackendServer) => boolean
}

type Probing = { readonly failures: number, readonly isRunning: boolean, readonly at: number }

const PROBE_TIMEOUT_MS = 1_000
const PROBES_A_SECOND = 3
const FAILURES_TO_LOSE = 2
/** Results older than this are ignored. */
const RESULT_LIFETIME_MS = 5_000

const NOT_PROBED: Probing = { failures: 0, isRunning: false, at: -Infinity }

export const createReachabilityProbes = (clock: Clock, backendClient: Pick<BackendClient, 'readLoad'>, intervalMs: number): ReachabilityProbes => {
  const known = new Map<string, Probing>()
  let second = { startedAt: -Infinity, probes: 0 }

  const takeTurn = (now: number): boolean => {
    if (now - second.startedAt >= 1_000) second = { startedAt: now, probes: 0 }
    if (second.probes >= PROBES_A_SECOND) return false
    second.probes += 1
    return true
  }

  const probe = async (backendServer: BackendServer, failures: number): Promise<void> => {
    known.set(backendServer.name, { failures, isRunning: true, at: clock.now() })
    const report = await backendClient.readLoad(backendServer.url, PROBE_TIMEOUT_MS)
    if (report.ok) known.delete(backendServer.name)
    else known.set(backendServer.name, { failures: failures + 1, isRunning: false, at: clock.now() })
  }

  return {
    check: (backendServer) => {
      const now = clock.now()
      const found = known.get(backendServer.name) ?? NOT_PROBED
      const isFresh = now - found.at < RESULT_LIFETIME_MS
      const failures = isFresh ? found.failures : 0
      const isDue = !found.isRunning && (found === NOT_PROBED || now - found.at >= intervalMs / 2)
      if (isDue && takeTurn(now)) probe(backendServer, failures)
      return failures >= FAILURES_TO_LOSE
    }
  }
}
