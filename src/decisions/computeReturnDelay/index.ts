/**
 * When callers come back who found every backend server full, refusing or gone.
 * Some hundred are refused at once when a service fails; sent back to one moment,
 * they would fail together again.
 */

/** A held server is tried again after 400 ms: some are back by then. */
const SHORTEST_MS = 250
/** Twice as long as the shortest wait, which spreads a crowd thinly enough for two or three returns. */
const SPREAD_MS = 500

/**
 * Computes the time after which a refused caller comes back.
 *
 * @param randomShare - A number in [0, 1).
 * @returns Milliseconds.
 *
 * @example
 * computeReturnDelay(0) // => 250
 */
export const computeReturnDelay = (randomShare: number): number => SHORTEST_MS + SPREAD_MS * randomShare
