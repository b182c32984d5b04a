/** Decays the past usage of a client account, so that a burst counts against it for seconds rather than for good. */

/**
 * Decays an amount of past usage exponentially.
 *
 * @param tokens - The initial amount, in tokens.
 * @param elapsedMs - Milliseconds since then; a negative value counts as 0.
 * @param halfLifeMs - Half-life in milliseconds. Above 0.
 * @returns The remaining amount, in tokens.
 *
 * @example
 * decayUsage(100, 5_000, 5_000) // => 50
 */
export const decayUsage = (tokens: number, elapsedMs: number, halfLifeMs: number): number =>
  tokens * 2 ** (-Math.max(0, elapsedMs) / halfLifeMs)
