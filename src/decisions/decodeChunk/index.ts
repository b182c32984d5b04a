/** Decodes one chunk of a configuration. */
import { z } from 'zod'
import { failure, success } from '../../kernel/index.js'
import type { Result, Sheet } from '../../types/index.js'

const text = z.string()
const stopFields = { name: text, startsAt: z.number(), endsAt: z.number().optional() }

const records = {
  clientAccounts: z.object({ name: text, weight: z.number(), keyHashes: z.array(text) }),
  services: z.object({ name: text, kind: z.enum(['model', 'plain']), loadLimit: z.number(), loadTarget: z.number() }),
  backendServers: z.object({ name: text, service: text, url: text, availabilityZone: text, slots: z.number() }),
  routes: z.object({
    name: text,
    service: text,
    model: text.optional(),
    path: text.optional(),
    repeatable: z.boolean(),
    backendIdempotent: z.boolean(),
    deadlineSeconds: z.number(),
    priority: z.enum(['interactive', 'overnight'])
  }),
  plannedStops: z.union([
    z.object({ ...stopFields, backendServer: text }),
    z.object({ ...stopFields, availabilityZone: text })
  ])
} as const satisfies Record<keyof Sheet, z.ZodType>

const chunk = z.object({
  format: z.literal(1),
  records: z.array(z.union([
    z.tuple([z.literal('clientAccounts'), records.clientAccounts]),
    z.tuple([z.literal('services'), records.services]),
    z.tuple([z.literal('backendServers'), records.backendServers]),
    z.tuple([z.literal('routes'), records.routes]),
    z.tuple([z.literal('plannedStops'), records.plannedStops])
  ]))
})

/** A record with the name of the sheet's list to which it belongs. */
export type ChunkRecord = { readonly [List in keyof Sheet]: readonly [List, Sheet[List][number]] }[keyof Sheet]

export type ChunkError = { readonly kind: 'unreadableChunk', readonly message: string }

/**
 * Decodes a chunk.
 *
 * A chunk of a later format is rejected as a whole: a node that understood only
 * some of the records would apply a configuration that no operator requested.
 *
 * @param bytes - Content of a chunk whose hash has been verified.
 * @returns Its records, or the reason why it cannot be decoded.
 *
 * @example
 * decodeChunk(new TextEncoder().encode('{"format":1,"records":[]}')) // => { ok: true, value: [] }
 */
export const decodeChunk = (bytes: Uint8Array): Result<readonly ChunkRecord[], ChunkError> => {
  const parsed = chunk.safeParse(readJson(bytes))
  if (!parsed.success) return failure({ kind: 'unreadableChunk', message: z.prettifyError(parsed.error).slice(0, 300) })
  return success(parsed.data.records as unknown as readonly ChunkRecord[])
}

const readJson = (bytes: Uint8Array): unknown => {
  try {
    return JSON.parse(new TextDecoder().decode(bytes))
  } catch {
    return undefined
  }
}
