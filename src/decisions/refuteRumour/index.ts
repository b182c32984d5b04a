/**
 * How a router that hears itself called suspect or dead takes that back.
 */
import type { Member } from '../../types/index.js'

/**
 * Compares this router's own record with one that others hold of it.
 *
 * A router that was paused is declared dead by its peers, and wakes without
 * knowing. Its record with the old incarnation would lose against theirs for
 * ever; one incarnation more wins. The same holds for a restarted router whose
 * wall clock went backwards, so that others hold a higher incarnation.
 *
 * @param self - This router's own record.
 * @param heard - What another router says of this one.
 * @returns The own record under a higher incarnation, or `self` when nothing has to be refuted.
 *
 * @example
 * refuteRumour(self, { ...self, state: 'dead' }).incarnation // => self.incarnation + 1
 */
export const refuteRumour = (self: Member, heard: Member): Member => {
  if (heard.incarnation < self.incarnation) return self
  if (heard.incarnation === self.incarnation && heard.state === self.state) return self
  return { ...self, incarnation: heard.incarnation + 1 }
}
