/** The machine's own randomness, as the source that daemons hand to every service. */
import { randomBytes } from 'node:crypto'
import type { RandomSource } from '../../types/index.js'

const ID_BYTES = 16

/**
 * Creates the random source of a real process.
 *
 * @returns Numbers from `Math.random`, and identifiers of 128 bits from the
 * cryptographic generator, so that identifiers cannot be guessed.
 *
 * @example
 * createSystemRandom().nextId() // => for example '9f1c0c0e4d3f4f5a8f5a3d1f2b7c6e10'
 */
export const createSystemRandom = (): RandomSource => ({
  next: () => Math.random(),
  nextId: () => randomBytes(ID_BYTES).toString('hex')
})
