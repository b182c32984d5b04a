/** Chat client of the benchmark. It counts the events of a stream without parsing them, so that the client itself takes little processor time. */
import type { Dispatcher } from 'undici'

export type ChatTarget = { readonly origin: string, readonly key: string, readonly model: string }

export type ChatTimes = {
  readonly firstByteMs: number
  readonly totalMs: number
  /** Events of the stream; 1 for an answer that is not streamed. */
  readonly events: number
}

export type ChatShape = { readonly stream: boolean, readonly maximumTokens: number }

const LINE_FEED = 10
const STREAM_END = Buffer.from('data: [DONE]\n\n')
const JSON_ANSWER_END = Buffer.from('}}}')

/**
 * Sends one chat request and measures the times of its answer.
 *
 * @param dispatcher - Connection pool.
 * @param target - A router or an engine.
 * @param shape - Whether the answer is streamed, and its maximum length in tokens.
 * @param question - First message of a new chat.
 * @returns The times in milliseconds. Throws when the answer is incomplete, because the times of failed requests would distort the results.
 *
 * @example
 * await measureChat(agent, target, { stream: true, maximumTokens: 32 }, 'question 1')
 */
export const measureChat = async (dispatcher: Dispatcher, target: ChatTarget, shape: ChatShape, question: string): Promise<ChatTimes> => {
  const startedAt = performance.now()
  const response = await dispatcher.request({
    origin: target.origin,
    path: '/v1/chat/completions',
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: `Bearer ${target.key}` },
    body: JSON.stringify({ model: target.model, messages: [{ role: 'user', content: question }], max_tokens: shape.maximumTokens, stream: shape.stream })
  })
  let firstByteMs: number | undefined
  let lineFeeds = 0
  let tail = Buffer.alloc(0)
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    firstByteMs ??= performance.now() - startedAt
    lineFeeds += countLineFeeds(chunk)
    tail = Buffer.concat([tail, chunk]).subarray(-STREAM_END.byteLength)
  }
  const isWhole = tail.subarray(-STREAM_END.byteLength).equals(STREAM_END) || tail.subarray(-JSON_ANSWER_END.byteLength).equals(JSON_ANSWER_END)
  if (response.statusCode !== 200 || !isWhole) throw new Error(`chat request failed: status ${response.statusCode}, the answer ends in ${tail.toString()}`)
  // Each event has three lines: its id, its data and an empty line.
  return { firstByteMs: firstByteMs ?? 0, totalMs: performance.now() - startedAt, events: shape.stream ? lineFeeds / 3 : 1 }
}

const countLineFeeds = (chunk: Buffer): number => {
  let count = 0
  for (let index = chunk.indexOf(LINE_FEED); index !== -1; index = chunk.indexOf(LINE_FEED, index + 1)) count += 1
  return count
}
