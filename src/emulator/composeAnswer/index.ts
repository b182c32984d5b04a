/**
 * Composes the answer of the emulated model engine to a prompt. It depends on
 * the prompt alone, so a caller can check that the answer is complete and belongs
 * to its own request.
 */
import { hashText } from '../../hashing/index.js'

export type ChatMessage = { readonly role: string, readonly content: string }

export type ComposedAnswer = {
  readonly text: string
  /** The text split into tokens. */
  readonly tokens: readonly string[]
  readonly finishReason: 'stop' | 'length'
}

const MARKER_LENGTH = 40
const MINIMUM_ANSWER_TOKENS = 24
const ANSWER_LENGTH_RANGE = 232
const HASH_MULTIPLIER = 2654435761
const HASH_SPACE = 2 ** 32

const WORDS: readonly string[] = [
  'barley', 'basil', 'butter', 'counter', 'crate', 'delivery', 'dough', 'durum', 'egg', 'flour', 'fresh', 'invoice',
  'ladle', 'milk', 'noodle', 'order', 'oven', 'pallet', 'pasta', 'pepper', 'ravioli', 'restock', 'salt', 'semolina',
  'settlement', 'shelf', 'slot', 'stock', 'supplier', 'till', 'van', 'village'
]

/**
 * Composes the complete answer to a chat.
 *
 * It starts with a hash of all messages and the beginning of the last one, so
 * that an answer to another request can be recognised. The words that follow and
 * their number are derived from that hash.
 *
 * @param messages - The chat so far.
 * @param maximumTokens - Maximum number of tokens; no limit by default.
 * @returns The text, its tokens, and whether it ended before the limit.
 *
 * @example
 * composeAnswer([{ role: 'user', content: 'Is there ravioli?' }], 8).tokens.length // => 8
 */
export const composeAnswer = (messages: readonly ChatMessage[], maximumTokens: number = Infinity): ComposedAnswer => {
  const seed = hashMessages(messages)
  const fullLength = MINIMUM_ANSWER_TOKENS + seed % ANSWER_LENGTH_RANGE
  const length = Math.min(fullLength, maximumTokens)
  const marker = (messages.at(-1)?.content ?? '').slice(0, MARKER_LENGTH)
  const opening = [`[${seed.toString(16).padStart(8, '0')}] `, `"${marker}":`]
  const filler = Array.from({ length: Math.max(0, length - opening.length) }, (_, index) => ` ${pickWord(seed, index)}`)
  const tokens = [...opening, ...filler].slice(0, length)
  return { text: tokens.join(''), tokens, finishReason: length < fullLength ? 'length' : 'stop' }
}

/**
 * Hashes every prefix of a chat: the hash of each message includes the messages
 * before it, so chats with a common prefix have the same hashes for it.
 *
 * @param messages - The chat so far.
 * @returns The hash after each message, in order.
 *
 * @example
 * hashPrefixes([{ role: 'user', content: 'a' }]).length // => 1
 */
export const hashPrefixes = (messages: readonly ChatMessage[]): readonly string[] => {
  let first = 0
  let second = 1
  return messages.map(({ role, content }) => {
    const text = `${role}\n${content}`
    first = hashText(text, first)
    second = hashText(text, second)
    return `${first.toString(36)}.${second.toString(36)}`
  })
}

const hashMessages = (messages: readonly ChatMessage[]): number =>
  messages.reduce((hash, { role, content }) => hashText(`${role}\n${content}`, hash), 0)

const pickWord = (seed: number, index: number): string => {
  const mixed = (seed + Math.imul(index + 1, HASH_MULTIPLIER)) % HASH_SPACE
  return WORDS[(mixed >>> 16) % WORDS.length]!
}
