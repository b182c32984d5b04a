/**
 * The hash behind rendezvous ranking and sharding: xxHash, from its library.
 * It spreads keys evenly and alike on every node; it is no secret and guards
 * nothing, so keys and signatures use SHA-256 instead. In plain JavaScript, since
 * a WebAssembly module is compiled at each start, for 0.6 µs less a hash.
 */
import { xxHash32 } from 'js-xxhash'

/**
 * Hashes a text to 32 bits.
 *
 * @param text - Any text.
 * @param seed - Another seed gives an unrelated hash; 0 by default.
 * @returns A whole number in [0, 2^32), alike on every machine.
 *
 * @example
 * hashText('chat-1') === hashText('chat-1') // => true
 */
export const hashText = (text: string, seed: number = 0): number => xxHash32(text, seed)
