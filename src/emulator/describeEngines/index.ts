/** Describes the engines of an emulated fleet in its configuration, as an operator does. */
import type { EngineCapacity, GatewayConfiguration } from '../../types/index.js'

/** Service of the backend servers that `createInProcessFleet` adds. */
const SERVICE = 'engines'

/**
 * Creates the services of a configuration whose only service runs model engines.
 *
 * @param engine - Capacity of each engine.
 * @returns The services by name.
 *
 * @example
 * describeEngines(capacity).get('engines')?.isModelService // => true
 */
export const describeEngines = (engine: EngineCapacity): GatewayConfiguration['services'] =>
  new Map([[SERVICE, { name: SERVICE, healthPath: '/', maximumConnections: 1, isModelService: true, engine }]])
