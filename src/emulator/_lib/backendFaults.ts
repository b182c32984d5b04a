/** The faults that both kinds of emulated backend server have. */
import type { Clock } from '../../types/index.js'
import { createFaultSwitches, type FaultSwitches } from '../createFaultSwitches/index.js'

/** Faults of the connection, of the request, of the answer, and of the state that the server reports. */
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
 * Creates the fault switches of an emulated backend server, all off.
 *
 * @returns The switches.
 *
 * @example
 * createBackendFaults().apply({ fault: 'cutAnswer', count: 1, after: 3 })
 */
export const createBackendFaults = (): BackendFaults => createFaultSwitches(BACKEND_FAULTS)

/**
 * Checks whether the server refuses connections now.
 *
 * A flapping server alternates between up and down every `ms` milliseconds. The
 * phase depends on the clock, not on when the fault was turned on.
 *
 * @param faults - The fault switches.
 * @param clock - Determines the phase of a flapping server.
 * @returns Whether new connections are reset.
 *
 * @example
 * isRefusingConnections(createBackendFaults(), clock) // => false
 */
export const isRefusingConnections = (faults: BackendFaults, clock: Clock): boolean => {
  if (faults.peek('refuseConnections') !== undefined) return true
  const flapping = faults.peek('flapping')
  return flapping !== undefined && Math.floor(clock.now() / Math.max(1, flapping.ms)) % 2 === 1
}
