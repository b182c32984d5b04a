/** Schema of the fields of an OpenAI chat completion request that the emulator reads. */
import { z } from 'zod'
import type { ChatMessage } from '../../composeAnswer/index.js'

const messageSchema = z.object({ role: z.string(), content: z.unknown() })

export const completionSchema = z.object({
  model: z.string(),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().min(1).nullish(),
  max_completion_tokens: z.number().int().min(1).nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish()
})

export type Completion = z.infer<typeof completionSchema>

/**
 * Reads the messages as texts. Content that is not a string is taken as its JSON text.
 *
 * @param completion - A parsed request.
 * @returns The messages.
 *
 * @example
 * readMessages({ model: 'm', messages: [{ role: 'user', content: 'hello' }] })
 */
export const readMessages = ({ messages }: Completion): readonly ChatMessage[] =>
  messages.map(({ role, content }) => ({ role, content: typeof content === 'string' ? content : JSON.stringify(content ?? '') }))
