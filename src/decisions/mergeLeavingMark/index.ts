/**
 * Merges leaving marks that one source has set on one backend server.
 */
import type { LeavingMark } from '../../types/index.js'

/**
 * Merges the known mark with a received one.
 *
 * The higher epoch wins, so that an older report does not undo a newer mark.
 * Within one epoch leaving wins: sending work to a server that leaves does more
 * harm than sending none to one that stays. The merge is commutative,
 * associative and idempotent.
 *
 * @param known - The current mark; `undefined` when there is none.
 * @param received - The received mark, of the same server and source.
 * @returns The mark to keep; `known` itself when nothing changed.
 *
 * @example
 * mergeLeavingMark(leavingAtEpoch1, { ...leavingAtEpoch1, epoch: 2, leaving: false }).leaving // => false
 */
export const mergeLeavingMark = (known: LeavingMark | undefined, received: LeavingMark): LeavingMark => {
  if (known === undefined || received.epoch > known.epoch) return received
  return received.epoch === known.epoch && received.leaving && !known.leaving ? received : known
}
