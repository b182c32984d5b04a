/** Encodes the root object, which lists the chunks of a configuration generation. */
import type { ConfigurationRoot } from '../../types/index.js'

/**
 * Encodes a root object as JSON.
 *
 * @param root - The root to encode.
 * @returns The content of the object `configuration/root`.
 *
 * @example
 * decodeRoot(encodeRoot(root)) // => { ok: true, value: root }
 */
export const encodeRoot = (root: ConfigurationRoot): Uint8Array => new TextEncoder().encode(JSON.stringify({ format: 1, ...root }))
