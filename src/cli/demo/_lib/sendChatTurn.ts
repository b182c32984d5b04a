/** Sends one turn of a chat as a streamed request, as an OpenAI client library does. */
import { createParser } from 'eventsource-parser'
import { z } from 'zod'

export type ChatMessage = { readonly role: string, readonly content: string }

export type ChatTurn = {
  readonly text: string
  readonly servedBy: string
  readonly promptTokens: number
  readonly cachedTokens: number
}

const chunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().optional() }).optional() })).optional(),
  usage: z.object({
    prompt_tokens: z.number(),
    prompt_tokens_details: z.object({ cached_tokens: z.number() }).optional()
  }).nullish(),
  error: z.object({ message: z.string() }).optional()
})

type Chunk = z.infer<typeof chunkSchema>

const END_MARKER = '[DONE]'

const readChunks = async (response: Response): Promise<readonly Chunk[]> => {
  const chunks: Chunk[] = []
  let isEnded = false
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === END_MARKER) isEnded = true
      else chunks.push(chunkSchema.parse(JSON.parse(data)))
    }
  })
  const decoder = new TextDecoder()
  for await (const bytes of response.body ?? []) parser.feed(decoder.decode(bytes, { stream: true }))
  const failed = chunks.find(({ error }) => error !== undefined)
  if (failed?.error !== undefined) throw new Error(failed.error.message)
  if (!isEnded) throw new Error('the stream ended without its end marker')
  return chunks
}

/**
 * Sends one turn and reads the whole stream.
 *
 * @param router - Origin of a router.
 * @param key - Key of the client account.
 * @param request - Model and messages so far.
 * @returns The answer, the backend server that served it, and the number of prompt tokens found in the prompt cache.
 */
export const sendChatTurn = async (router: string, key: string, request: { readonly model: string, readonly messages: readonly ChatMessage[] }): Promise<ChatTurn> => {
  const response = await fetch(`${router}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ ...request, stream: true, stream_options: { include_usage: true } })
  })
  if (!response.ok) throw new Error(`the router answered ${response.status}: ${await response.text()}`)
  const chunks = await readChunks(response)
  const usage = chunks.find((chunk) => chunk.usage != null)?.usage
  return {
    text: chunks.map((chunk) => chunk.choices?.[0]?.delta?.content ?? '').join(''),
    servedBy: response.headers.get('x-served-by') ?? 'unknown',
    promptTokens: usage?.prompt_tokens ?? 0,
    cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0
  }
}
