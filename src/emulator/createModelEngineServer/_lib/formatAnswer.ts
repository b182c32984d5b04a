/** Formats the answer of a job as the OpenAI API does: as one JSON object, or as numbered server-sent events. */
import type { EngineJob } from '../../createModelEngine/index.js'

export type AnswerFormat = {
  /** Request identifier in the answer; differs from that of the request only with the fault `crossedAnswer`. */
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

const formatCompletionId = (requestId: string): string => `chatcmpl-${requestId}`

/**
 * Formats a complete job as one JSON object.
 *
 * @param job - A complete job.
 * @param format - Request identifier and model that the answer states.
 * @returns The JSON text.
 *
 * @example
 * formatCompletion(job, { requestId: 'r1', model: 'm', includeUsage: true })
 */
export const formatCompletion = (job: EngineJob, { requestId, model }: AnswerFormat): string => JSON.stringify({
  id: formatCompletionId(requestId),
  object: 'chat.completion',
  created: 0,
  model,
  choices: [{ index: 0, message: { role: 'assistant', content: job.answer.text }, finish_reason: job.answer.finishReason }],
  usage: buildUsage(job)
})

/**
 * Counts the events of a complete stream, including its end marker.
 *
 * @param job - The job.
 * @param format - Whether the stream has an event with the usage.
 * @returns The number of events.
 *
 * @example
 * countEvents(job, format) // => one per token, then finish, usage and end marker
 */
export const countEvents = (job: EngineJob, { includeUsage }: AnswerFormat): number =>
  job.answer.tokens.length + (includeUsage ? 3 : 2)

/**
 * Formats one event of a stream. The result depends on the job alone, so a
 * resumed stream repeats the same bytes.
 *
 * @param job - The job.
 * @param format - Request identifier and model that the event states.
 * @param number - Number of the event, from 1.
 * @returns The text of a server-sent event.
 *
 * @example
 * formatEvent(job, format, 1) // => 'id: 1\ndata: {...}\n\n'
 */
export const formatEvent = (job: EngineJob, format: AnswerFormat, number: number): string =>
  `id: ${number}\ndata: ${formatEventData(job, format, number)}\n\n`

const formatEventData = (job: EngineJob, format: AnswerFormat, number: number): string => {
  const { tokens, finishReason } = job.answer
  const chunk = { id: formatCompletionId(format.requestId), object: 'chat.completion.chunk', created: 0, model: format.model }
  if (number <= tokens.length) {
    const role = number === 1 ? { role: 'assistant' } : {}
    return JSON.stringify({ ...chunk, choices: [{ index: 0, delta: { ...role, content: tokens[number - 1] }, finish_reason: null }] })
  }
  if (number === tokens.length + 1) return JSON.stringify({ ...chunk, choices: [{ index: 0, delta: {}, finish_reason: finishReason }] })
  if (number < countEvents(job, format)) return JSON.stringify({ ...chunk, choices: [], usage: buildUsage(job) })
  return END_MARKER
}
