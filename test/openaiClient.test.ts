import OpenAI from 'openai'
import { afterEach, describe, expect, it } from 'vitest'
import { CALLER_KEY, createDispatchHarness, MODEL } from './_lib/createDispatchHarness.js'
import {
  answerEvents, answerEventsThenClose, answerThenClose, answerCompletely, createRawBackend, END_EVENT, formatEvent, refuseWith, resetConnection,
  type RawBackend, type RawStep
} from './_lib/createRawBackend.js'

let closers: (() => Promise<void>)[] = []

afterEach(async () => {
  for (const close of closers.reverse()) await close()
  closers = []
})

const start = async (steps: readonly RawStep[], maxRetries = 0): Promise<{ readonly client: OpenAI, readonly backend: RawBackend }> => {
  const backend = await createRawBackend(...steps)
  const harness = await createDispatchHarness({ origins: [backend.url] })
  closers.push(backend.close, harness.close)
  return { backend, client: new OpenAI({ baseURL: `${harness.url}/v1`, apiKey: CALLER_KEY, maxRetries }) }
}

const MESSAGES = [{ role: 'user' as const, content: 'How long does penne keep?' }]
const COMPLETE_ANSWER = JSON.stringify({ id: 'c', object: 'chat.completion', created: 1, model: MODEL, choices: [{ index: 0, message: { role: 'assistant', content: 'Two years.' }, finish_reason: 'stop' }] })

const requestAnswer = async (client: OpenAI): Promise<string | null | undefined> =>
  (await client.chat.completions.create({ model: MODEL, messages: MESSAGES })).choices[0]?.message.content

const requestStream = async (client: OpenAI, read: (text: string) => void): Promise<void> => {
  const stream = await client.chat.completions.create({ model: MODEL, messages: MESSAGES, stream: true })
  for await (const chunk of stream) read(chunk.choices[0]?.delta.content ?? '')
}

describe('the official client library', () => {
  it('reads a non-streamed answer', async () => {
    const { client } = await start([answerCompletely(COMPLETE_ANSWER)])
    expect(await requestAnswer(client)).toBe('Two years.')
  })

  it('reads a stream that was broken and resumed without any gap', async () => {
    const { client } = await start([answerEventsThenClose([formatEvent(1, 'Two ')]), answerEvents([formatEvent(1, 'Two '), formatEvent(2, 'years.'), END_EVENT])])
    let text = ''
    await requestStream(client, (part) => { text += part })
    expect(text).toBe('Two years.')
  })

  /*
   * An application would show a truncated answer as complete: the stream ends early,
   * and the library reads the end of the connection as the end of the answer.
   */
  it.each<[string, readonly RawStep[]]>([
    ['broken and no longer known to the server', [answerEventsThenClose([formatEvent(1, 'Two ')]), answerCompletely('{}', {}, 404)]],
    ['broken on a server that died', [answerEventsThenClose([formatEvent(1, 'Two ')]), resetConnection]],
    ['ended without its end marker', [answerEvents([formatEvent(1, 'Two ')]), answerCompletely('{}', {}, 404)]],
    ['reset before its first event', [resetConnection]]
  ])('throws when a stream was %s', async (_name, steps) => {
    const { client } = await start(steps)
    await expect(requestStream(client, () => {})).rejects.toThrow(OpenAI.APIError)
  })

  it('throws when a non-streamed answer was truncated', async () => {
    const { client } = await start([answerThenClose({ 'content-type': 'application/json', 'content-length': '900' }, COMPLETE_ANSWER)])
    await expect(requestAnswer(client)).rejects.toThrow(OpenAI.APIError)
  })

  it('shows the reason and the outcome of a refusal', async () => {
    const { client } = await start([refuseWith('overloaded')])
    await expect(requestAnswer(client)).rejects.toMatchObject({ status: 503, code: 'noBackendServer', error: { outcome: 'not-run' } })
  })

  it('retries by itself after a request was refused as not run', async () => {
    const { client, backend } = await start([refuseWith('overloaded'), answerCompletely(COMPLETE_ANSWER)], 1)
    expect(await requestAnswer(client)).toBe('Two years.')
    expect(backend.requests.length).toBe(2)
  })

  it('does not retry a request that was refused permanently', async () => {
    const { client, backend } = await start([answerCompletely(COMPLETE_ANSWER)], 2)
    await expect(client.chat.completions.create({ model: 'unknown', messages: MESSAGES })).rejects.toThrow(OpenAI.NotFoundError)
    expect(backend.requests.length).toBe(0)
  })
})
