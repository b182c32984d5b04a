/**
 * The count of requests by their fate. Each request is entered once and
 * settled once, so that accepted = complete + refused + unknown + open always
 * holds. A request that got lost shows as open for ever: the age of the oldest
 * open one then passes every deadline.
 */
import type { Clock, RequestLedger } from '../../../types/index.js'

export type RequestFate = 'complete' | 'refused' | 'unknown'

export type Ledger = {
  /** Enters a request; the function returned settles it, once. */
  readonly open: () => (fate: RequestFate) => void
  readonly read: () => RequestLedger
  /** Milliseconds since the oldest open request was entered; 0 when none is open. */
  readonly oldestOpenMs: () => number
  readonly whenIdle: () => Promise<void>
}

export const createLedger = (clock: Pick<Clock, 'now'>): Ledger => {
  const counts = { accepted: 0, complete: 0, refused: 0, unknown: 0, open: 0 }
  const waiting: (() => void)[] = []
  /** When each open request was entered, the oldest first. */
  const openedAt = new Map<number, number>()

  const settle = (fate: RequestFate): void => {
    counts[fate] += 1
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
      return (fate) => {
        if (!openedAt.delete(entry)) throw new Error('a request was settled twice')
        settle(fate)
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
