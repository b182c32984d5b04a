/** The KV cache of the emulated engine: an LRU cache of chat prefixes, bounded in tokens. */
import { LRUCache } from 'lru-cache'
import { hashPrefixes, type ChatMessage } from '../../composeAnswer/index.js'
import { countTokens } from '../../countTokens/index.js'

export type PrefixCache = {
  /** Returns the tokens of the longest cached prefix of the chat and marks it as recently used. */
  readonly matchPrefix: (messages: readonly ChatMessage[]) => number
  /** Caches every prefix of the chat. */
  readonly store: (messages: readonly ChatMessage[]) => void
  /** Tokens in the cache. */
  readonly tokens: () => number
}

/**
 * Creates an empty cache.
 *
 * Each message is one entry, keyed by the hash of the chat up to and including
 * it. The entries of a chat are touched from the last to the first, so that the
 * end of a chat is evicted before its beginning, which other chats may share.
 *
 * @param maximumTokens - Size of the cache, in tokens.
 * @returns The cache.
 *
 * @example
 * createPrefixCache(1000).use([{ role: 'user', content: 'hello' }]) // => 0
 */
export const createPrefixCache = (maximumTokens: number): PrefixCache => {
  const entries = new LRUCache<string, number>({ maxSize: Math.max(1, maximumTokens), sizeCalculation: (tokens) => Math.max(1, tokens) })

  const countCached = (hashes: readonly string[]): number => {
    const firstMissing = hashes.findIndex((hash) => !entries.has(hash))
    return firstMissing === -1 ? hashes.length : firstMissing
  }

  return {
    matchPrefix: (messages) => {
      const hashes = hashPrefixes(messages)
      const cached = hashes.slice(0, countCached(hashes))
      return cached.reduceRight((sum, hash) => sum + (entries.get(hash) ?? 0), 0)
    },
    store: (messages) => {
      const hashes = hashPrefixes(messages)
      for (let index = messages.length - 1; index >= 0; index -= 1) {
        entries.set(hashes[index]!, countTokens(messages[index]!.content))
      }
    },
    tokens: () => entries.calculatedSize
  }
}
