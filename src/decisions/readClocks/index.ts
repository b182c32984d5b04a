import type { ClockReading, Clocks } from '../measureAge/index.js'

/**
 * Reads all clocks at one moment.
 *
 * @param clocks - The machine's clocks.
 * @returns The value of each clock, in milliseconds.
 *
 * @example
 * readClocks({ monotonic: () => 1, wall: () => 2, boot: () => 3 }) // => { monotonic: 1, wall: 2, boot: 3 }
 */
export const readClocks = (clocks: Clocks): ClockReading => ({ monotonic: clocks.monotonic(), wall: clocks.wall(), boot: clocks.boot() })
