/** The load of a stand-in as it was some time ago, which is all that its report gives. */
import type { Clock } from '../../types/index.js'

export type LoadFigures = { readonly running: number, readonly waiting: number }

export type LaggingLoad = {
  /** Notes the load as of now. */
  readonly record: (figures: LoadFigures) => void
  readonly read: () => LoadFigures & { readonly ageMs: number }
}

type DatedFigures = LoadFigures & { readonly since: number }

/**
 * Creates a report that lags.
 *
 * @param clock - Dates the figures.
 * @param lagMs - How far behind the report is, in milliseconds.
 * @returns The report, at zero until figures old enough are there.
 *
 * @example
 * createLaggingLoad(clock, 500).read() // => { running: 0, waiting: 0, ageMs: 500 }
 */
export const createLaggingLoad = (clock: Clock, lagMs: number): LaggingLoad => {
  let past: DatedFigures[] = [{ since: -Infinity, running: 0, waiting: 0 }]

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
