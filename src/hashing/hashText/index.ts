/**
 * The hash for rendezvous ranking and sharding: xxHash, which spreads keys evenly
 * and identically on every node. It is not cryptographic; keys and signatures use
 * SHA-256. The implementation is plain JavaScript: a WebAssembly module would save
 * 0.6 µs per hash, but would have to be compiled at each start.
 */
import { xxHash32 } from 'js-xxhash'

/**
 * Hashes a text to 32 bits.
 *
 * @param text - Any text.
 * @param seed - Different seeds give unrelated hashes; 0 by default.
 * @returns An integer in [0, 2^32), the same on every machine.
 *
 * @example
 * hashText('chat-1') === hashText('chat-1') // => true
 */
export const hashText = (text: string, seed: number = 0): number => xxHash32(text, seed)
