/** Selects a backend server as a gateway node does, without sending the request. */
import { selectInstance, type SelectionInput } from '../../services/forwarding/_lib/selectInstance.js'
import type { GatewayNode } from '../../node/createGatewayNode/index.js'
import type { BackendInstance } from '../../types/index.js'

export type SelectAtNodeOptions = {
  /** Returns a number in [0, 1). */
  readonly random: () => number
  /** Highest load of a backend server, as a multiple of the mean load of its service; 2 by default. */
  readonly loadFactor?: number
}

/**
 * Selects the server for a request at one node of a simulated fleet.
 *
 * @param node - The node, which is running.
 * @param input - The request and its service.
 * @param options - Random source and load factor.
 * @returns The server; `undefined` when none is eligible.
 *
 * @example
 * selectAtNode(fleet.nodes[0]!, { request, service: 'engines', bodyBytes: 0, tried: new Set(), allowedRegions: [] }, { random })?.id
 */
export const selectAtNode = (node: GatewayNode, input: SelectionInput, { random, loadFactor = 2 }: SelectAtNodeOptions): BackendInstance | undefined => selectInstance({
  configuration: node.resolve('gatewayConfiguration'),
  registry: node.resolve('instanceRegistry'),
  health: node.resolve('instanceHealth'),
  notices: node.resolve('instanceNotices'),
  directory: node.resolve('promptDirectory'),
  loadView: node.resolve('loadView'),
  zoneDrains: node.resolve('zoneDrains'),
  warmUp: node.resolve('warmUp'),
  refusals: node.resolve('refusalLimiter'),
  work: node.resolve('serverWork'),
  random: { next: random, nextId: () => '' },
  regionByZone: new Map(),
  availabilityZone: node.resolve('membership').self().availabilityZone,
  readLoadFactor: () => loadFactor
}, input)?.instance
