/** Hashes caller keys, and signs and verifies chat hints with an HMAC. */
import { createHash, createHmac, hkdfSync, timingSafeEqual } from 'node:crypto'
import type { MessageAuthenticator } from '../../../decisions/signChatHint/index.js'

const HINT_KEY_LABEL = 'dotterelspoke chat hint'
const HINT_KEY_BYTES = 32
/** The HMAC is truncated to 128 bits, which is infeasible to guess and keeps the hint short: it is sent with every answer. */
const CODE_BYTES = 16

export const hashHex = (...parts: readonly (string | Uint8Array)[]): string => {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(part)
  return hash.digest('hex')
}

/** Derives the hint's key from the fleet key, so that the code of a hint can't authenticate a message between peers. */
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
