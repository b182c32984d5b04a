/** Reads the parts of a chat completion request that routing needs. */
import { z } from 'zod'
import { hashHex } from './createHintAuthenticator.js'

export type ModelRequest = {
  readonly model: string
  /** Hash of the system prompt and the first user message; identifies the chat when the caller gives no chat id. */
  readonly openingHash: string
  /** Whether the messages contain no answer of the model yet. */
  readonly isNewChat: boolean
  /** Estimated tokens of prompt and answer together. */
  readonly tokens: number
}

const message = z.looseObject({ role: z.string(), content: z.unknown().optional() })

const chatCompletion = z.looseObject({
  model: z.string().min(1).max(200),
  messages: z.array(message).min(1),
  max_tokens: z.number().int().positive().optional().nullable(),
  max_completion_tokens: z.number().int().positive().optional().nullable()
})

const SYSTEM_ROLES: ReadonlySet<string> = new Set(['system', 'developer'])
const BYTES_PER_TOKEN = 4
const DEFAULT_ANSWER_TOKENS = 256

const hashOpening = (messages: readonly z.infer<typeof message>[]): string => {
  const system = messages.filter(({ role }) => SYSTEM_ROLES.has(role)).map(({ content }) => content)
  const firstUser = messages.find(({ role }) => role === 'user')?.content ?? null
  return hashHex(JSON.stringify([system, firstUser]))
}

const parseJson = (body: Uint8Array): unknown => {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'))
  } catch {
    return undefined
  }
}

export const readModelRequest = (body: Uint8Array): ModelRequest | undefined => {
  const parsed = chatCompletion.safeParse(parseJson(body))
  if (!parsed.success) return undefined
  const { model, messages, max_tokens: maxTokens, max_completion_tokens: maxCompletionTokens } = parsed.data
  return {
    model,
    openingHash: hashOpening(messages),
    isNewChat: !messages.some(({ role }) => role === 'assistant'),
    tokens: Math.ceil(body.length / BYTES_PER_TOKEN) + (maxCompletionTokens ?? maxTokens ?? DEFAULT_ANSWER_TOKENS)
  }
}
