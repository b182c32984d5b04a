/**
 * Updates the leaving mark of a backend server from what this node observes at a source.
 */
import type { LeavingMark, LeavingSource } from '../../types/index.js'

export type LeavingStatus = {
  readonly mark?: LeavingMark
  /** Since when the source has reported to this node, without interruption, that the server stays; monotonic milliseconds. */
  readonly contradictedSince?: number
}

export type LeavingObservation = {
  readonly backendServer: string
  readonly source: LeavingSource
  readonly leaving: boolean
  /** When the source's statement was true, in monotonic milliseconds. */
  readonly observedAt: number
  /** Wall-clock time in milliseconds, from which the epoch of a new mark is made. */
  readonly wallTime: number
}

/**
 * Applies an observation to the leaving mark of one source.
 *
 * A leaving server is marked at once. A mark is cleared only after the same
 * source has contradicted it at this node for `clearAfterMs`: the VM list lags,
 * so a node that still reads an old list must not undo a mark that another node
 * set from a newer one.
 *
 * @param status - The mark, and since when the source contradicts it.
 * @param observation - What the source reports now.
 * @param clearAfterMs - How long the source must contradict a mark before it is cleared, in milliseconds.
 * @returns The updated status; a changed mark has a higher epoch.
 *
 * @example
 * applyLeavingObservation({}, { ...observation, leaving: true }, 5000).mark?.leaving // => true
 */
export const applyLeavingObservation = (status: LeavingStatus, observation: LeavingObservation, clearAfterMs: number): LeavingStatus => {
  const isMarked = status.mark?.leaving === true
  if (observation.leaving) return isMarked ? { mark: status.mark! } : { mark: createMark(status, observation) }
  if (!isMarked) return status
  const contradictedSince = status.contradictedSince ?? observation.observedAt
  if (observation.observedAt - contradictedSince < clearAfterMs) return { mark: status.mark!, contradictedSince }
  return { mark: createMark(status, observation) }
}

/** Wall-clock time makes the epoch grow even when the node that set the previous mark is gone. */
const createMark = ({ mark }: LeavingStatus, { backendServer, source, leaving, wallTime }: LeavingObservation): LeavingMark =>
  ({ backendServer, source, leaving, epoch: Math.max((mark?.epoch ?? 0) + 1, wallTime) })
