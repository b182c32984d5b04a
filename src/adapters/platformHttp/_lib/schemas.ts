/** Schemas of the platform's JSON replies. */
import { z } from 'zod'

export const objectListSchema = z.object({
  objects: z.array(z.object({ name: z.string(), version: z.string() })).readonly(),
  revision: z.number().int(),
  continueAfter: z.string().optional()
})

export const watchEventsSchema = z.object({
  revision: z.number().int(),
  changes: z.array(z.object({ name: z.string(), kind: z.enum(['put', 'delete']), version: z.string() })).readonly()
})

export const vmListSchema = z.object({
  vms: z.array(z.object({
    name: z.string(),
    kind: z.enum(['router', 'backendServer']),
    address: z.string(),
    availabilityZone: z.string(),
    state: z.enum(['live', 'leaving'])
  })).readonly()
})
