/**
 * Shares out requests among options of different cost, as water fills vessels of different
 * height. Load pattern: many nodes that place by the same counts, which say nothing of
 * the requests that began since. If each took the cheapest option, all would take the
 * same one until the next counts; by these shares, they fill up the cheap ones together.
 */

export type FillOption = {
  /** Cost of the option at present, in any unit. */
  readonly cost: number
  /** Cost that each request adds to it, in the same unit. Above 0. */
  readonly costPerRequest: number
}

/** Finds the cost at which the cheapest options have taken all requests; dearer options take none. */
const findFillLevel = (options: readonly FillOption[], requests: number): number => {
  let requestsPerCost = 0
  let requestsAtZeroCost = requests
  let level = Infinity
  for (const { cost, costPerRequest } of [...options].sort((left, right) => left.cost - right.cost)) {
    if (cost >= level) break
    requestsPerCost += 1 / costPerRequest
    requestsAtZeroCost += cost / costPerRequest
    level = requestsAtZeroCost / requestsPerCost
  }
  return level
}

const shareAmongCheapest = (options: readonly FillOption[]): readonly number[] => {
  const least = Math.min(...options.map(({ cost }) => cost))
  const cheapest = options.filter(({ cost }) => cost === least).length
  return options.map(({ cost }) => cost === least ? 1 / cheapest : 0)
}

/**
 * Computes the share of the requests that each option should get, so that all options
 * which get any cost the same in the end.
 *
 * @param options - The options.
 * @param requests - Number of requests to share out; with 0 the cheapest options get equal shares.
 * @returns Shares in the order of the options, with the sum 1.
 *
 * @example
 * computeFillShares([{ cost: 0, costPerRequest: 1 }, { cost: 1, costPerRequest: 1 }], 3) // => [2 / 3, 1 / 3]
 */
export const computeFillShares = (options: readonly FillOption[], requests: number): readonly number[] => {
  if (requests <= 0) return shareAmongCheapest(options)
  const level = findFillLevel(options, requests)
  return options.map(({ cost, costPerRequest }) => Math.max(0, level - cost) / costPerRequest / requests)
}
