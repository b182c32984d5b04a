/** The engine's KV cache: prefixes of chats, bounded in tokens, least recently used out first. */
import { LRUCache } from 'lru-cache'
import { hashPrefixes, type ChatMessage } from '../../composeAnswer/index.js'
import { countTokens } from '../../countTokens/index.js'

export type PrefixCache = {
  /** Tokens of the longest cached beginning of the chat, which counts as used now. */
  readonly use: (messages: readonly ChatMessage[]) => number
  /** Keeps every beginning of the chat. */
  readonly store: (messages: readonly ChatMessage[]) => void
  readonly tokens: () => number
}

/**
 * Creates an empty cache.
 *
 * Each message is one entry, keyed by the hash of the chat up to it. A chat's
 * entries are touched from its last to its first, so that the end of a chat
 * leaves the cache before the beginning that others may share.
 *
 * @param maximumTokens - Room for so many tokens.
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
    use: (messages) => {
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
