/** Keys and codes: the hash of a caller's key, and the codes of chat hints. */
import { createHash, createHmac, hkdfSync, timingSafeEqual } from 'node:crypto'
import type { MessageAuthenticator } from '../../../decisions/signChatHint/index.js'

const HINT_KEY_LABEL = 'dotterelspoke chat hint'
const HINT_KEY_BYTES = 32
/** Half of the code: 128 bits are beyond guessing, and the hint travels with every answer. */
const CODE_BYTES = 16

export const hashHex = (...parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(part)
  return hash.digest('hex')
}

/** The hint's key is derived from the fleet key, so that a hint's code is of no use between peers. */
export const createHintAuthenticator = (fleetKey: string): MessageAuthenticator => {
  const key = Buffer.from(hkdfSync('sha256', fleetKey, '', HINT_KEY_LABEL, HINT_KEY_BYTES))
  const compute = (message: string): Buffer => createHmac('sha256', key).update(message).digest().subarray(0, CODE_BYTES)
  return {
    sign: (message) => compute(message).toString('base64url'),
    verify: (message, code) => {
      const given = Buffer.from(code, 'base64url')
      return given.length === CODE_BYTES && timingSafeEqual(given, compute(message))
    }
  }
}
