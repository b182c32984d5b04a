/** Decodes the root object, which lists the chunks of a configuration generation. */
import { z } from 'zod'
import { failure, success } from '../../kernel/index.js'
import type { ConfigurationRoot, Result } from '../../types/index.js'

const hash = z.string().regex(/^[0-9a-f]{64}$/)
const applied = {
  generation: z.number().int().min(1),
  applyId: z.string().min(1),
  appliedBy: z.string(),
  appliedAt: z.number(),
  sheetHash: hash
}
const schema = z.object({
  ...applied,
  format: z.literal(1),
  chunks: z.array(hash).min(1),
  history: z.array(z.object(applied))
})

export type RootError = { readonly kind: 'unreadableRoot', readonly message: string }

/**
 * Decodes a root object.
 *
 * @param bytes - Content of `configuration/root`, from the platform or a peer.
 * @returns The root, or the reason why it cannot be decoded.
 *
 * @example
 * decodeRoot(new Uint8Array()) // => { ok: false, error: { kind: 'unreadableRoot', ... } }
 */
export const decodeRoot = (bytes: Uint8Array): Result<ConfigurationRoot, RootError> => {
  const parsed = schema.safeParse(readJson(bytes))
  if (!parsed.success) return failure({ kind: 'unreadableRoot', message: z.prettifyError(parsed.error).slice(0, 300) })
  const { format, ...root } = parsed.data
  return success(root)
}

const readJson = (bytes: Uint8Array): unknown => {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}
