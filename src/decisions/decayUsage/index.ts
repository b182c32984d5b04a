/** How past work fades, so that a surge is remembered for seconds and not for ever. */

/**
 * Decays an amount of past work exponentially.
 *
 * @param tokens - The amount at the start, in tokens.
 * @param elapsedMs - Milliseconds since then; a negative value counts as 0.
 * @param halfLifeMs - Milliseconds after which half is left. Above 0.
 * @returns What is left, in tokens.
 *
 * @example
 * decayUsage(100, 5_000, 5_000) // => 50
 */
export const decayUsage = (tokens: number, elapsedMs: number, halfLifeMs: number): number =>
  tokens * 2 ** (-Math.max(0, elapsedMs) / halfLifeMs)
