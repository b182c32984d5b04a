/** Builds the log fields of a refusal for want of a backend server: what this node and its peers reach. */
import type { LogFields } from '../../../types/index.js'
import type { ForwardingDependencies } from '../index.js'

/** Returns the fields; `unheardMs` is the time since anything last arrived from any backend server. */
export const describeReach = ({ reach, health }: Pick<ForwardingDependencies, 'reach' | 'health'>): LogFields => {
  const { reachable, known } = reach.readOwn()
  const { some, none, unknown } = reach.countPeers()
  return { reachable, known, unheardMs: Math.round(health.readUnheardMs()), peersReaching: some, peersNotReaching: none, peersUnknown: unknown }
}
