/**
 * Merges member records, so that all routers arrive at the same view whatever
 * the order in which gossip updates reach them.
 */
import type { Member, MemberState } from '../../types/index.js'

const PRECEDENCE: Readonly<Record<MemberState, number>> = { live: 0, suspect: 1, leaving: 2, dead: 3 }

/**
 * Merges the known record of a member with a received one.
 *
 * The higher incarnation wins. Within one incarnation the worse state wins, so
 * that only the member itself, with a higher incarnation, can revoke the state
 * `suspect`, `leaving` or `dead`; and the generation only grows. The merge is
 * commutative, associative and idempotent.
 *
 * @param known - The current record; `undefined` when the member is new here.
 * @param received - The received record of the same member.
 * @returns The record to keep; `known` itself when nothing changed.
 *
 * @example
 * mergeMember({ ...member, state: 'suspect' }, { ...member, incarnation: member.incarnation + 1 }).state // => 'live'
 */
export const mergeMember = (known: Member | undefined, received: Member): Member => {
  if (known === undefined) return received
  if (received.incarnation !== known.incarnation) return received.incarnation > known.incarnation ? received : known
  const isWorse = PRECEDENCE[received.state] > PRECEDENCE[known.state]
  const winner = isWorse ? received : known
  const generation = Math.max(known.generation, received.generation)
  return winner.generation === generation ? winner : { ...winner, generation }
}
