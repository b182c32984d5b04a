import { uptime } from 'node:os'
import type { ClockReading } from '../../decisions/measureAge/index.js'

/**
 * Reads the machine's clocks at one moment.
 *
 * @returns Monotonic, wall and boot time in milliseconds.
 *
 * @example
 * readSystemClocks().wall > 0 // => true
 */
export const readSystemClocks = (): ClockReading => ({ monotonic: performance.now(), wall: Date.now(), boot: uptime() * 1000 })
