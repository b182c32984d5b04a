/**
 * Counts the ends of backend servers that may each have had a cause of their own. Servers
 * that end at almost the same moment may have lost power together, and say no more about
 * the prompts that ran there than one of them.
 */

/** Ends within this time of the first one of a group count once, in milliseconds; nodes with a slow processor notice an end that much later. */
const GROUP_MS = 300

/**
 * Counts the independent ends.
 *
 * @param endedAt - Monotonic milliseconds at which servers ended, in any order.
 * @returns The number of groups of ends.
 *
 * @example
 * countIndependentEnds([0, 20, 900]) // => 2
 */
export const countIndependentEnds = (endedAt: readonly number[]): number => {
  let groups = 0
  let groupBeganAt = -Infinity
  for (const at of [...endedAt].sort((left, right) => left - right)) {
    if (at - groupBeganAt <= GROUP_MS) continue
    groups += 1
    groupBeganAt = at
  }
  return groups
}
