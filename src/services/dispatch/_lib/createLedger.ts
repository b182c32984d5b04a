/**
 * The count of requests by their fate. Each request is entered once and
 * settled once, so that accepted = complete + refused + unknown + open always
 * holds and a request that got lost shows as open for ever.
 */
import type { RequestLedger } from '../../../types/index.js'

export type RequestFate = 'complete' | 'refused' | 'unknown'

export type Ledger = {
  /** Enters a request; the function returned settles it, once. */
  readonly open: () => (fate: RequestFate) => void
  readonly read: () => RequestLedger
  readonly whenIdle: () => Promise<void>
}

export const createLedger = (): Ledger => {
  const counts = { accepted: 0, complete: 0, refused: 0, unknown: 0, open: 0 }
  const waiting: (() => void)[] = []

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
      let isSettled = false
      return (fate) => {
        if (isSettled) throw new Error('a request was settled twice')
        isSettled = true
        settle(fate)
      }
    },
    read: () => ({ ...counts }),
    whenIdle: () => counts.open === 0 ? Promise.resolve() : new Promise((resolve) => { waiting.push(resolve) })
  }
}
