/**
 * What this node's own sight of a source does to the mark of a backend server.
 */
import type { LeavingMark, LeavingSource } from '../../types/index.js'

export type LeavingSight = {
  readonly mark?: LeavingMark
  /** Monotonic milliseconds since which the source said here, without a break, that the server stays. */
  readonly contradictedSince?: number
}

export type LeavingObservation = {
  readonly backendServer: string
  readonly source: LeavingSource
  readonly leaving: boolean
  /** Monotonic milliseconds at which the source's statement was true. */
  readonly observedAt: number
  /** Wall-clock milliseconds, for the epoch of a new mark. */
  readonly wallTime: number
}

/**
 * Applies an observation to what is known from one source.
 *
 * A leaving server is marked at once. A mark is cleared only after the same
 * source has contradicted it here for a while: the VM list lags, so a node
 * that still reads an old list must not undo what another read in a new one.
 *
 * @param sight - The mark and since when it is contradicted.
 * @param observation - What the source says now.
 * @param clearAfterMs - Contradiction needed to clear a mark, in milliseconds.
 * @returns The new sight; a changed mark has a higher epoch.
 *
 * @example
 * observeLeaving({}, { ...observation, leaving: true }, 5000).mark?.leaving // => true
 */
export const observeLeaving = (sight: LeavingSight, observation: LeavingObservation, clearAfterMs: number): LeavingSight => {
  const isMarked = sight.mark?.leaving === true
  if (observation.leaving) return isMarked ? { mark: sight.mark! } : { mark: createMark(sight, observation) }
  if (!isMarked) return sight
  const contradictedSince = sight.contradictedSince ?? observation.observedAt
  if (observation.observedAt - contradictedSince < clearAfterMs) return { mark: sight.mark!, contradictedSince }
  return { mark: createMark(sight, observation) }
}

/** Wall time makes the epoch grow also when the node that set the last one is gone. */
const createMark = ({ mark }: LeavingSight, { backendServer, source, leaving, wallTime }: LeavingObservation): LeavingMark =>
  ({ backendServer, source, leaving, epoch: Math.max((mark?.epoch ?? 0) + 1, wallTime) })
