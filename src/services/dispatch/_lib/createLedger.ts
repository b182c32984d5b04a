/**
 * Counts requests by outcome. Each request is opened once and settled once, so
 * that accepted = complete + refused + unknown + open always holds. A request
 * that is never settled stays open: the age of the oldest open request then
 * exceeds every deadline.
 */
import type { Clock, RequestLedger } from '../../../types/index.js'

export type RequestOutcome = 'complete' | 'refused' | 'unknown'

export type Ledger = {
  /** Opens an entry for a request; the returned function settles it and must be called once. */
  readonly open: () => (outcome: RequestOutcome) => void
  readonly read: () => RequestLedger
  /** Milliseconds since the oldest open request was accepted; 0 when none is open. */
  readonly oldestOpenMs: () => number
  readonly whenIdle: () => Promise<void>
}

export const createLedger = (clock: Pick<Clock, 'now'>): Ledger => {
  const counts = { accepted: 0, complete: 0, refused: 0, unknown: 0, open: 0 }
  const waiting: (() => void)[] = []
  /** Time at which each open request was accepted, the oldest first. */
  const openedAt = new Map<number, number>()

  const settle = (outcome: RequestOutcome): void => {
    counts[outcome] += 1
    counts.open -= 1
    if (counts.open > 0) return
    for (const resolve of waiting.splice(0)) resolve()
  }

  return {
    open: () => {
      counts.accepted += 1
      counts.open += 1
      const entry = counts.accepted
      openedAt.set(entry, clock.now())
      return (outcome) => {
        if (!openedAt.delete(entry)) throw new Error('request ledger: the entry of a request was settled twice')
        settle(outcome)
      }
    },
    read: () => ({ ...counts }),
    oldestOpenMs: () => {
      const [oldest] = openedAt.values()
      return oldest === undefined ? 0 : clock.now() - oldest
    },
    whenIdle: () => counts.open === 0 ? Promise.resolve() : new Promise((resolve) => { waiting.push(resolve) })
  }
}
