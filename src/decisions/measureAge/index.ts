/**
 * How much time has passed for a process that may have been suspended. The
 * monotonic clock stands still while a VM is suspended, and the wall clock
 * jumps by itself; neither alone says how old a belief is.
 */

/** What the clocks showed at one moment, in milliseconds. */
export type ClockReading = {
  readonly monotonic: number
  readonly wall: number
  /** Time since the machine's start, suspended time included. */
  readonly boot: number
}

/** The clocks now. The boot clock costs a read of a file, so it is read only where the others disagree. */
export type Clocks = {
  readonly monotonic: () => number
  readonly wall: () => number
  readonly boot: () => number
}

/** Clocks that differ by less than this agree: reading them one after another, and slewing, takes some milliseconds. */
const AGREEMENT_MS = 100

/**
 * Measures the time since a reading, never too short.
 *
 * While monotonic and wall clock agree, either tells. Where they differ, the
 * machine was suspended or its wall clock was set: the longest of the three
 * counts, since a belief that is taken for older than it is costs a question,
 * and one taken for younger breaks a promise.
 *
 * @param since - The earlier reading.
 * @param clocks - The machine's clocks, read now.
 * @returns Milliseconds.
 *
 * @example
 * measureAge({ monotonic: 0, wall: 0, boot: 0 }, { monotonic: () => 5, wall: () => 5, boot: () => 5 }) // => 5
 */
export const measureAge = (since: ClockReading, clocks: Clocks): number => {
  const monotonic = clocks.monotonic() - since.monotonic
  const wall = clocks.wall() - since.wall
  if (Math.abs(wall - monotonic) < AGREEMENT_MS) return Math.max(monotonic, wall)
  return Math.max(monotonic, wall, clocks.boot() - since.boot)
}
