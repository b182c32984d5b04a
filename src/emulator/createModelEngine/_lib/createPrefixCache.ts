/** The KV cache of the emulated engine: an LRU cache of prompt prefixes, bounded in tokens. */
import { LRUCache } from 'lru-cache'
import type { PromptPart } from '../../../types/index.js'

export type PrefixCache = {
  /** Returns the tokens of the longest cached prefix of the prompt and marks it as recently used. */
  readonly matchPrefix: (parts: readonly PromptPart[]) => number
  readonly has: (id: string) => boolean
  /** Caches every prefix of the prompt. */
  readonly store: (parts: readonly PromptPart[]) => void
  /** Evicts the parts that were used longest ago, except those in use, until at most `tokens` are left. */
  readonly evictTo: (tokens: number, isInUse: (id: string) => boolean) => void
  /** Tokens in the cache. */
  readonly tokens: () => number
}

/**
 * Creates an empty cache.
 *
 * Each part of a prompt is one entry; its id stands for the prompt up to and
 * including it. The entries of a prompt are touched from the last to the first, so
 * that its end is evicted before its beginning, which other prompts may share.
 *
 * @param maximumTokens - Size of the cache, in tokens.
 * @returns The cache.
 *
 * @example
 * createPrefixCache(1000).matchPrefix([{ id: 'a', tokens: 10 }]) // => 0
 */
export const createPrefixCache = (maximumTokens: number): PrefixCache => {
  const entries = new LRUCache<string, number>({ maxSize: Math.max(1, maximumTokens), sizeCalculation: (tokens) => Math.max(1, tokens) })

  const listCached = (parts: readonly PromptPart[]): readonly PromptPart[] => {
    const firstMissing = parts.findIndex(({ id }) => !entries.has(id))
    return firstMissing === -1 ? parts : parts.slice(0, firstMissing)
  }

  return {
    matchPrefix: (parts) => listCached(parts).reduceRight((sum, { id }) => sum + (entries.get(id) ?? 0), 0),
    has: (id) => entries.has(id),
    store: (parts) => {
      for (const { id, tokens } of [...parts].reverse()) entries.set(id, tokens)
    },
    evictTo: (tokens, isInUse) => {
      for (const id of [...entries.rkeys()]) {
        if (entries.calculatedSize <= tokens) return
        if (!isInUse(id)) entries.delete(id)
      }
    },
    tokens: () => entries.calculatedSize
  }
}
