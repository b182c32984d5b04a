import { uptime } from 'node:os'
import { createSystemClock } from '../systemClock/index.js'
import type { Clocks } from '../../decisions/measureAge/index.js'

const MILLISECONDS_PER_SECOND = 1_000

/**
 * Creates the clocks of the machine.
 *
 * @returns Monotonic, wall and boot time in milliseconds.
 *
 * @example
 * createSystemClocks().wall() > 0 // => true
 */
export const createSystemClocks = (): Clocks => ({
  monotonic: createSystemClock().now,
  wall: () => Date.now(),
  boot: () => uptime() * MILLISECONDS_PER_SECOND
})
