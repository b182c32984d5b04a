/**
 * Estimates how many tokens of prompts each backend server caches. Announcements
 * state no sizes, so a part that this node has not sent counts as one of mean size.
 */
import { LRUCache } from 'lru-cache'
import { createLruOptions } from './createLruOptions.js'
import type { Clock, PromptPart } from '../../../types/index.js'

export type ServerUsage = {
  /** Records the sizes of parts that this node sends. */
  readonly recordSizes: (parts: readonly PromptPart[]) => void
  readonly estimate: (instanceKey: string) => number
}

/** A sum over all locations takes some milliseconds. */
const SUM_LIFETIME_MS = 2_000
const MAXIMUM_SIZES = 20_000

type Sums = { readonly at: number, readonly tokens: ReadonlyMap<string, number> }

/** Creates the estimate over the given locations. */
export const createServerUsage = (clock: Clock, listCached: () => Iterable<readonly [part: string, instanceKeys: readonly string[]]>): ServerUsage => {
  const sizes = new LRUCache<string, number>(createLruOptions(MAXIMUM_SIZES))
  let sums: Sums | undefined

  const sumTokens = (): Sums => {
    const known = [...sizes.values()]
    const mean = known.reduce((sum, size) => sum + size, 0) / Math.max(1, known.length)
    const tokens = new Map<string, number>()
    for (const [part, instanceKeys] of listCached()) {
      const size = sizes.get(part) ?? mean
      for (const key of instanceKeys) tokens.set(key, (tokens.get(key) ?? 0) + size)
    }
    return { at: clock.now(), tokens }
  }

  return {
    recordSizes: (parts) => { for (const { id, tokens } of parts) sizes.set(id, tokens) },
    estimate: (instanceKey) => {
      if (sums === undefined || clock.now() - sums.at > SUM_LIFETIME_MS) sums = sumTokens()
      return sums.tokens.get(instanceKey) ?? 0
    }
  }
}
