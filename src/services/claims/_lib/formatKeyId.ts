import type { ClaimKey } from '../../../types/index.js'

/** One string for a key and its client account; no two pairs share one. */
export const formatKeyId = (key: ClaimKey): string => JSON.stringify([key.clientAccount, key.idempotencyKey])
