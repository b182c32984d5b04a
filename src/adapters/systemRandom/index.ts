import { randomBytes } from 'node:crypto'
import type { RandomSource } from '../../types/index.js'

const ID_BYTES = 15

/**
 * Creates the random source of the process.
 *
 * @returns A source whose identifiers hold 120 random bits.
 *
 * @example
 * createSystemRandom().nextId().length // => 20
 */
export const createSystemRandom = (): RandomSource => ({
  next: () => Math.random(),
  nextId: () => randomBytes(ID_BYTES).toString('base64url')
})
