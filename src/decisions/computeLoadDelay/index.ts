/**
 * Decides when a starting process loads a library that it does not need at once. Loading takes
 * processor time from the callers that wait for the start, and a node with a share of a core
 * needs longer to serve them.
 */

const MILLICORES_PER_CORE = 1_000
/** The lines and counts of a process that is killed before are lost. */
const MAXIMUM_DELAY_MS = 6_000

/**
 * Computes the delay of the load.
 *
 * @param delayMs - Delay on a whole core, in milliseconds.
 * @param millicores - Processor time of the node, in thousandths of a core; a whole core when unknown.
 * @returns The delay in milliseconds, of 6,000 at most.
 *
 * @example
 * computeLoadDelay(300, 600) // => 500
 */
export const computeLoadDelay = (delayMs: number, millicores: number = MILLICORES_PER_CORE): number =>
  Math.min(MAXIMUM_DELAY_MS, delayMs * MILLICORES_PER_CORE / Math.min(millicores, MILLICORES_PER_CORE))
