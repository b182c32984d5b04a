/**
 * Lets a router refute reports that it is suspect or dead.
 */
import type { Member } from '../../types/index.js'

/**
 * Compares this router's own record with a received record about it.
 *
 * A router that was paused is declared dead by its peers, and resumes without
 * noticing. Its record with the old incarnation would always lose against
 * theirs; a higher incarnation wins. The same applies to a restarted router
 * whose wall clock was set back, so that peers have a higher incarnation.
 *
 * @param self - This router's own record.
 * @param received - A record of this router that another router sent.
 * @returns The own record under a higher incarnation, or `self` when nothing has to be refuted.
 *
 * @example
 * refuteSuspicion(self, { ...self, state: 'dead' }).incarnation // => self.incarnation + 1
 */
export const refuteSuspicion = (self: Member, received: Member): Member => {
  if (received.incarnation < self.incarnation) return self
  if (received.incarnation === self.incarnation && received.state === self.state) return self
  return { ...self, incarnation: received.incarnation + 1 }
}
