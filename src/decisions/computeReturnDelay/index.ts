/**
 * When callers come back who found every backend server full, refusing or gone.
 * Some hundred are refused at once when a service fails; sent back to one moment,
 * they would fail together again.
 */
import type { FinalReason } from '../../types/index.js'

/** A held server is tried again after 400 ms: some are back by then. */
const SHORTEST_MS = 250
/** Twice as long as the shortest wait, which spreads a crowd thinly enough for two or three returns. */
const SPREAD_MS = 500

/** A drain ends by the operator's hand, and a region gets servers no sooner: coming back at once finds the same. */
const UNPLACEABLE_MS = 1_500

/** Reasons of refusals that stand for longer than a server is held. */
const LASTING_REASONS: ReadonlySet<FinalReason> = new Set(['zoneDrained', 'regionNotAllowed'])

/**
 * Computes the time after which a refused caller comes back.
 *
 * @param randomShare - A number in [0, 1).
 * @param reason - Why it was refused; one that passes within the second by default.
 * @returns Milliseconds.
 *
 * @example
 * computeReturnDelay(0) // => 250
 */
export const computeReturnDelay = (randomShare: number, reason: FinalReason = 'noInstance'): number =>
  (LASTING_REASONS.has(reason) ? UNPLACEABLE_MS : SHORTEST_MS) + SPREAD_MS * randomShare
