/**
 * Replaces what is nested too deeply in a JSON text by null. JSON.parse itself bears any depth, but takes some hundred
 * bytes of memory for two of text, and code that recurses over the result overflows the stack.
 */

/** Several times the depth of any message. */
const MAXIMUM_DEPTH = 32

const QUOTE = '"'.charCodeAt(0)
const BACKSLASH = '\\'.charCodeAt(0)
const OPEN_ARRAY = '['.charCodeAt(0)
const CLOSE_ARRAY = ']'.charCodeAt(0)
const OPEN_OBJECT = '{'.charCodeAt(0)
const CLOSE_OBJECT = '}'.charCodeAt(0)
const NULL = Buffer.from('null')

/** Returns the place of the quote that ends the string whose text begins at `from`; the end of the text when there is none. */
const findStringEnd = (text: Uint8Array, from: number): number => {
  let place = from
  while (place < text.length && text[place] !== QUOTE) place += text[place] === BACKSLASH ? 2 : 1
  return place
}

/**
 * Limits the depth of a JSON text.
 *
 * @param text - JSON in UTF-8, from another program.
 * @returns The text with each array and object that is nested more than 32 deep replaced by null; `text` itself when
 * there is none. A malformed text stays malformed.
 *
 * @example
 * limitNesting(Buffer.from('[1]')).toString() // => '[1]'
 */
export const limitNesting = (text: Uint8Array): Uint8Array => {
  const parts: Uint8Array[] = []
  let keptFrom = 0
  let depth = 0
  for (let place = 0; place < text.length; place++) {
    const byte = text[place]
    if (byte === QUOTE) {
      place = findStringEnd(text, place + 1)
    } else if (byte === OPEN_ARRAY || byte === OPEN_OBJECT) {
      if (depth === MAXIMUM_DEPTH) parts.push(text.subarray(keptFrom, place), NULL)
      depth += 1
      if (depth > MAXIMUM_DEPTH) keptFrom = text.length
    } else if (byte === CLOSE_ARRAY || byte === CLOSE_OBJECT) {
      depth -= 1
      if (depth === MAXIMUM_DEPTH) keptFrom = place + 1
    }
  }
  if (parts.length === 0) return text
  parts.push(text.subarray(keptFrom))
  return Buffer.concat(parts)
}
