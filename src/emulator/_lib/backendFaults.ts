/** The faults that both kinds of backend server stand-in have. */
import type { Clock } from '../../types/index.js'
import { createFaultSwitches, type FaultSwitches } from '../createFaultSwitches/index.js'

/** Faults of the connection, of the request, of the answer, and of what the server says of itself. */
export type BackendFault =
  | 'refuseConnections' | 'flapping'
  | 'resetAfterRead' | 'crossedAnswer'
  | 'lateAnswer' | 'cutAnswer' | 'truncateAnswer' | 'freezeAnswer' | 'duplicateEvent'
  | 'unresponsiveLoad' | 'leaving' | 'overloaded'

export type BackendFaults = FaultSwitches<BackendFault>

const BACKEND_FAULTS: readonly BackendFault[] = [
  'refuseConnections', 'flapping', 'resetAfterRead', 'crossedAnswer', 'lateAnswer', 'cutAnswer', 'truncateAnswer',
  'freezeAnswer', 'duplicateEvent', 'unresponsiveLoad', 'leaving', 'overloaded'
]

/**
 * Creates the switches of a backend server's faults, all off.
 *
 * @returns The switches.
 *
 * @example
 * createBackendFaults().apply({ fault: 'cutAnswer', count: 1, after: 3 })
 */
export const createBackendFaults = (): BackendFaults => createFaultSwitches(BACKEND_FAULTS)

/**
 * Tells whether the server takes no connections now.
 *
 * A flapping server is up and down by turns of `ms` milliseconds each, and
 * begins with a turn that is down or up as the clock has it.
 *
 * @param faults - The switches.
 * @param clock - Gives the turn.
 * @returns Whether a new connection is reset.
 *
 * @example
 * isDown(createBackendFaults(), clock) // => false
 */
export const isDown = (faults: BackendFaults, clock: Clock): boolean => {
  if (faults.peek('refuseConnections') !== undefined) return true
  const flapping = faults.peek('flapping')
  return flapping !== undefined && Math.floor(clock.now() / Math.max(1, flapping.ms)) % 2 === 1
}
