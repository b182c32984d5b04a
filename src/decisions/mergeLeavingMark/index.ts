/**
 * The order among marks of one source about one backend server.
 */
import type { LeavingMark } from '../../types/index.js'

/**
 * Merges what is known with a mark that was heard.
 *
 * The higher epoch wins, so that a mark once set is not undone by an older
 * word; within one epoch leaving wins, as new work for a leaving server does
 * more harm than none for one that stays. The merge is commutative,
 * associative and idempotent.
 *
 * @param known - The mark so far; `undefined` when there is none.
 * @param heard - A mark of the same server and source.
 * @returns The mark to keep; `known` itself when nothing changed.
 *
 * @example
 * mergeLeavingMark(leavingAtEpoch1, { ...leavingAtEpoch1, epoch: 2, leaving: false }).leaving // => false
 */
export const mergeLeavingMark = (known: LeavingMark | undefined, heard: LeavingMark): LeavingMark => {
  if (known === undefined || heard.epoch > known.epoch) return heard
  return heard.epoch === known.epoch && heard.leaving && !known.leaving ? heard : known
}
