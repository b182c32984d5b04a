import type { ClaimKey } from '../../../types/index.js'

/** Formats a key and its client account as one string, unique for each pair. */
export const formatKeyId = (key: ClaimKey): string => JSON.stringify([key.clientAccount, key.idempotencyKey])
