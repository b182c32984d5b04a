/** Tells whether a request may be sent for its caller: not once the caller has left, nor on what the node knew of it long ago. */
import type { CallerSink } from '../../../types/index.js'

export type CallerPresence = {
  readonly hasLeft: () => boolean
  /** Whether the first byte of a send may be written now. All that had arrived at this node `readAgeMs` milliseconds ago has been read. */
  readonly maySend: (readAgeMs: number) => boolean
  /** Returns whether the last send was postponed because of that age, once for each. */
  readonly takePostponed: () => boolean
}

/**
 * What the node knows of a caller at a send may be this old, in milliseconds: less than the half second after which work
 * for a caller that has left counts as work in vain, by what the request takes to arrive.
 */
const MAXIMUM_READ_AGE_MS = 350
/** A node that is always later than that sends after this many postponements; it would send nothing otherwise. */
const MAXIMUM_POSTPONEMENTS = 3

/** Creates the presence of the caller of one request. */
export const createCallerPresence = ({ hasLeft }: Pick<CallerSink, 'hasLeft'>): CallerPresence => {
  let postponements = 0
  let isPostponed = false
  return {
    hasLeft,
    maySend: (readAgeMs) => {
      if (hasLeft()) return false
      if (readAgeMs <= MAXIMUM_READ_AGE_MS || postponements >= MAXIMUM_POSTPONEMENTS) return true
      postponements += 1
      isPostponed = true
      return false
    },
    takePostponed: () => {
      const wasPostponed = isPostponed
      isPostponed = false
      return wasPostponed
    }
  }
}
