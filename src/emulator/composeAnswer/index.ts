/**
 * The answer that the stand-in engine gives to a prompt. It follows from the
 * prompt alone, so whoever asked can check that the answer is whole and is the
 * answer to its own request.
 */
import { hashText } from '../../hashing/index.js'

export type ChatMessage = { readonly role: string, readonly content: string }

export type ComposedAnswer = {
  readonly text: string
  /** The text in the pieces in which it is generated: one a token. */
  readonly tokens: readonly string[]
  readonly finishReason: 'stop' | 'length'
}

const MARKER_LENGTH = 40
const SHORTEST_ANSWER = 24
const ANSWER_LENGTHS = 232
const MIXING_STEP = 2654435761
const HASH_SPACE = 2 ** 32

const WORDS: readonly string[] = [
  'barley', 'basil', 'butter', 'counter', 'crate', 'delivery', 'dough', 'durum', 'egg', 'flour', 'fresh', 'invoice',
  'ladle', 'milk', 'noodle', 'order', 'oven', 'pallet', 'pasta', 'pepper', 'ravioli', 'restock', 'salt', 'semolina',
  'settlement', 'shelf', 'slot', 'stock', 'supplier', 'till', 'van', 'village'
]

/**
 * Composes the whole answer to a chat.
 *
 * It opens with a hash of all messages and with the beginning of the last one,
 * so that an answer that went to somebody else's request shows. Then come
 * words that follow from that hash, up to a length that follows from it too.
 *
 * @param messages - The chat so far.
 * @param maximumTokens - Where the answer is cut off; no limit by default.
 * @returns The text, its tokens, and whether it ended by itself.
 *
 * @example
 * composeAnswer([{ role: 'user', content: 'Is there ravioli?' }], 8).tokens.length // => 8
 */
export const composeAnswer = (messages: readonly ChatMessage[], maximumTokens: number = Infinity): ComposedAnswer => {
  const seed = hashMessages(messages)
  const naturalLength = SHORTEST_ANSWER + seed % ANSWER_LENGTHS
  const length = Math.min(naturalLength, maximumTokens)
  const marker = (messages.at(-1)?.content ?? '').slice(0, MARKER_LENGTH)
  const opening = [`[${seed.toString(16).padStart(8, '0')}] `, `"${marker}":`]
  const filler = Array.from({ length: Math.max(0, length - opening.length) }, (_, index) => ` ${pickWord(seed, index)}`)
  const tokens = [...opening, ...filler].slice(0, length)
  return { text: tokens.join(''), tokens, finishReason: length < naturalLength ? 'length' : 'stop' }
}

/**
 * Hashes a chat message by message, each upon the hash of those before it, so
 * that chats with a common beginning have common hashes up to there.
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
  const mixed = (seed + Math.imul(index + 1, MIXING_STEP)) % HASH_SPACE
  return WORDS[(mixed >>> 16) % WORDS.length]!
}
