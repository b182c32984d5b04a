/**
 * Measures elapsed time in a process that may have been suspended. The
 * monotonic clock stops while a VM is suspended, and the wall clock can be set;
 * neither alone gives the age of a last known state.
 */

/** The values of all clocks at one moment, in milliseconds. */
export type ClockReading = {
  readonly monotonic: number
  readonly wall: number
  /** Time since the machine booted, including time during which it was suspended. */
  readonly boot: number
}

/** Functions that read the clocks. The boot clock costs a file read, so it is read only where the others disagree. */
export type Clocks = {
  readonly monotonic: () => number
  readonly wall: () => number
  readonly boot: () => number
}

/** Clocks that differ by less than this agree: reading them one after another and clock slewing account for some milliseconds. */
const AGREEMENT_MS = 100

/**
 * Measures the time since a reading, and errs on the long side.
 *
 * While the monotonic and the wall clock agree, either is right. Where they
 * differ, the machine was suspended or its wall clock was set, and the longest
 * of the three durations counts. Overestimating an age costs an extra request;
 * underestimating it means acting on data that is too old.
 *
 * @param since - The earlier reading.
 * @param clocks - The machine's clocks.
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
