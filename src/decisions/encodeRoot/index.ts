/** Writing of the root object, which names a generation's chunks. */
import type { ConfigurationRoot } from '../../types/index.js'

/**
 * Encodes a root as JSON.
 *
 * @param root - The root to write.
 * @returns Bytes for the object `configuration/root`.
 *
 * @example
 * decodeRoot(encodeRoot(root)) // => { ok: true, value: root }
 */
export const encodeRoot = (root: ConfigurationRoot): Uint8Array => new TextEncoder().encode(JSON.stringify({ format: 1, ...root }))
