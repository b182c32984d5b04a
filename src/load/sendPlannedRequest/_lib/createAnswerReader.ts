/** Reads an answer as it arrives: its text, the times of its tokens, its usage, and a refusal inside a stream. */
import { createParser } from 'eventsource-parser'
import { z } from 'zod'
import type { Clock } from '../../../types/index.js'

export type ReceivedRefusal = { readonly outcome: 'refusedNotRun' | 'refusedUnknown', readonly reason: string }

export type AnswerUsage = { readonly promptTokens: number, readonly cachedTokens: number, readonly completionTokens: number }

export type ReceivedAnswer = {
  /** The body as received. */
  readonly body: string
  /** Text of the events of a stream, joined. */
  readonly content: string
  readonly hasEndMarker: boolean
  readonly refusal?: ReceivedRefusal
  readonly firstTokenMs?: number
  readonly betweenTokensMs: readonly number[]
  readonly promptTokens?: number
  readonly cachedTokens?: number
  readonly completionTokens?: number
}

export type AnswerReader = {
  readonly add: (chunk: Buffer) => void
  readonly read: () => ReceivedAnswer
}

const END_MARKER = '[DONE]'

const usageSchema = z.object({
  prompt_tokens: z.number(),
  completion_tokens: z.number(),
  prompt_tokens_details: z.object({ cached_tokens: z.number() })
})

const refusalSchema = z.object({ error: z.object({ code: z.string().nullish(), outcome: z.enum(['not-run', 'unknown']) }) })

const chunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }) })),
  usage: usageSchema.nullish()
})

/**
 * Reads a refusal from a parsed body or event.
 *
 * @param parsed - Any JSON value.
 * @returns The refusal, or `undefined` when the value is not a refusal.
 *
 * @example
 * readRefusal({ error: { code: 'deadline', outcome: 'not-run' } }) // => { outcome: 'refusedNotRun', reason: 'deadline' }
 */
export const readRefusal = (parsed: unknown): ReceivedRefusal | undefined => {
  const refusal = refusalSchema.safeParse(parsed)
  if (!refusal.success) return undefined
  const { code, outcome } = refusal.data.error
  return { outcome: outcome === 'not-run' ? 'refusedNotRun' : 'refusedUnknown', reason: code ?? 'none given' }
}

/**
 * Reads the usage of a parsed answer or event.
 *
 * @param usage - The value of its field `usage`.
 * @returns Numbers of prompt tokens, cached prompt tokens and generated tokens, or `undefined` when absent.
 *
 * @example
 * readUsage({ prompt_tokens: 9, completion_tokens: 2, prompt_tokens_details: { cached_tokens: 4 } })
 * // => { promptTokens: 9, cachedTokens: 4, completionTokens: 2 }
 */
export const readUsage = (usage: unknown): AnswerUsage | undefined => {
  const parsed = usageSchema.safeParse(usage)
  if (!parsed.success) return undefined
  const { prompt_tokens: promptTokens, completion_tokens: completionTokens, prompt_tokens_details: details } = parsed.data
  return { promptTokens, cachedTokens: details.cached_tokens, completionTokens }
}

/**
 * Creates a reader of one answer.
 *
 * @param clock - Times the tokens.
 * @param startedAt - Time of that clock at which the request was sent, in milliseconds.
 * @returns The reader.
 *
 * @example
 * createAnswerReader(clock, clock.now()).read().body // => ''
 */
export const createAnswerReader = (clock: Clock, startedAt: number): AnswerReader => {
  const chunks: Buffer[] = []
  const decoder = new TextDecoder()
  const betweenTokensMs: number[] = []
  let content = ''
  let hasEndMarker = false
  let refusal: ReceivedRefusal | undefined
  let usage: AnswerUsage | undefined
  let firstTokenMs: number | undefined
  let lastTokenAt = startedAt

  const addToken = (text: string): void => {
    content += text
    const now = clock.now()
    if (firstTokenMs === undefined) firstTokenMs = now - startedAt
    else betweenTokensMs.push(now - lastTokenAt)
    lastTokenAt = now
  }

  const addEvent = (data: string): void => {
    if (data === END_MARKER) {
      hasEndMarker = true
      return
    }
    const parsed = parseJson(data)
    refusal ??= readRefusal(parsed)
    const chunk = chunkSchema.safeParse(parsed)
    if (!chunk.success) return
    usage = readUsage(chunk.data.usage) ?? usage
    const text = chunk.data.choices[0]?.delta.content
    if (typeof text === 'string' && text !== '') addToken(text)
  }

  const parser = createParser({ onEvent: ({ data }) => addEvent(data) })

  return {
    add: (chunk) => {
      chunks.push(chunk)
      parser.feed(decoder.decode(chunk, { stream: true }))
    },
    read: () => ({
      body: Buffer.concat(chunks).toString('utf8'),
      content,
      hasEndMarker,
      betweenTokensMs,
      ...refusal === undefined ? {} : { refusal },
      ...firstTokenMs === undefined ? {} : { firstTokenMs },
      ...usage
    })
  }
}

/**
 * Parses a text that may not be JSON.
 *
 * @param text - Any text.
 * @returns The value, or `undefined` when the text is not JSON.
 *
 * @example
 * parseJson('{') // => undefined
 */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
