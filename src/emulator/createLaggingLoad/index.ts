/** Emulates a load report that lags: it returns the load as it was some time ago. */
import type { Clock } from '../../types/index.js'

export type LoadFigures = { readonly running: number, readonly waiting: number }

export type LaggingLoad = {
  /** Records the current load. */
  readonly record: (figures: LoadFigures) => void
  /** The load as it was `lagMs` ago. */
  readonly read: () => LoadFigures & { readonly ageMs: number }
}

type TimestampedFigures = LoadFigures & { readonly since: number }

/**
 * Creates a lagging load report.
 *
 * @param clock - Timestamps the figures.
 * @param lagMs - How far the report lags behind the load, in milliseconds.
 * @returns The report, which is zero until a recorded load is older than the lag.
 *
 * @example
 * createLaggingLoad(clock, 500).read() // => { running: 0, waiting: 0, ageMs: 500 }
 */
export const createLaggingLoad = (clock: Clock, lagMs: number): LaggingLoad => {
  let past: TimestampedFigures[] = [{ since: -Infinity, running: 0, waiting: 0 }]

  const forgetBefore = (shownAt: number): void => {
    const shown = past.findLastIndex(({ since }) => since <= shownAt)
    past = past.slice(shown)
  }

  return {
    record: ({ running, waiting }) => {
      past.push({ since: clock.now(), running, waiting })
      if (past.length % 64 === 0) forgetBefore(clock.now() - lagMs)
    },
    read: () => {
      forgetBefore(clock.now() - lagMs)
      const { running, waiting } = past[0]!
      return { running, waiting, ageMs: lagMs }
    }
  }
}
