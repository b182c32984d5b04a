/** A job's answer in the OpenAI form: as one object, or as numbered events. */
import type { EngineJob } from '../../createModelEngine/index.js'

export type AnswerFormat = {
  /** Identifier that the answer carries; the request's own unless answers are crossed. */
  readonly requestId: string
  readonly model: string
  readonly includeUsage: boolean
}

const END_MARKER = '[DONE]'

const buildUsage = (job: EngineJob): unknown => {
  const { promptTokens, cachedTokens } = job.usage()
  const completionTokens = job.answer.tokens.length
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens }
  }
}

const completionId = (requestId: string): string => `chatcmpl-${requestId}`

/**
 * Formats a complete job as a whole answer.
 *
 * @param job - A complete job.
 * @param format - What the answer names.
 * @returns The JSON text.
 *
 * @example
 * formatWhole(job, { requestId: 'r1', model: 'm', includeUsage: true })
 */
export const formatWhole = (job: EngineJob, { requestId, model }: AnswerFormat): string => JSON.stringify({
  id: completionId(requestId),
  object: 'chat.completion',
  created: 0,
  model,
  choices: [{ index: 0, message: { role: 'assistant', content: job.answer.text }, finish_reason: job.answer.finishReason }],
  usage: buildUsage(job)
})

/**
 * Counts the events of a complete stream, its end marker included.
 *
 * @param job - The job.
 * @param format - Whether there is an event with the usage.
 * @returns A whole number.
 *
 * @example
 * countEvents(job, format) // => one a token, then finish, usage and end marker
 */
export const countEvents = (job: EngineJob, { includeUsage }: AnswerFormat): number =>
  job.answer.tokens.length + (includeUsage ? 3 : 2)

/**
 * Formats one event of a stream. It follows from the job alone, so a resumed
 * stream repeats the very bytes of the first.
 *
 * @param job - The job.
 * @param format - What the answer names.
 * @param number - Which event, from 1.
 * @returns The event in the text form of server-sent events.
 *
 * @example
 * formatEvent(job, format, 1) // => 'id: 1\ndata: {...}\n\n'
 */
export const formatEvent = (job: EngineJob, format: AnswerFormat, number: number): string =>
  `id: ${number}\ndata: ${formatEventData(job, format, number)}\n\n`

const formatEventData = (job: EngineJob, format: AnswerFormat, number: number): string => {
  const { tokens, finishReason } = job.answer
  const chunk = { id: completionId(format.requestId), object: 'chat.completion.chunk', created: 0, model: format.model }
  if (number <= tokens.length) {
    const role = number === 1 ? { role: 'assistant' } : {}
    return JSON.stringify({ ...chunk, choices: [{ index: 0, delta: { ...role, content: tokens[number - 1] }, finish_reason: null }] })
  }
  if (number === tokens.length + 1) return JSON.stringify({ ...chunk, choices: [{ index: 0, delta: {}, finish_reason: finishReason }] })
  if (number < countEvents(job, format)) return JSON.stringify({ ...chunk, choices: [], usage: buildUsage(job) })
  return END_MARKER
}
