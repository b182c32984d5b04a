import OpenAI from 'openai'
import { afterEach, describe, expect, it } from 'vitest'
import { CALLER_KEY, createDispatchHarness, MODEL } from './_lib/createDispatchHarness.js'
import {
  answerEvents, answerEventsThenCut, answerThenCut, answerWhole, createRawBackend, END_EVENT, formatEvent, refuseWith, resetConnection,
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
const WHOLE = JSON.stringify({ id: 'c', object: 'chat.completion', created: 1, model: MODEL, choices: [{ index: 0, message: { role: 'assistant', content: 'Two years.' }, finish_reason: 'stop' }] })

const askWhole = async (client: OpenAI): Promise<string | null | undefined> =>
  (await client.chat.completions.create({ model: MODEL, messages: MESSAGES })).choices[0]?.message.content

const askStream = async (client: OpenAI, read: (text: string) => void): Promise<void> => {
  const stream = await client.chat.completions.create({ model: MODEL, messages: MESSAGES, stream: true })
  for await (const chunk of stream) read(chunk.choices[0]?.delta.content ?? '')
}

describe('the official client library', () => {
  it('reads a whole answer', async () => {
    const { client } = await start([answerWhole(WHOLE)])
    expect(await askWhole(client)).toBe('Two years.')
  })

  it('reads a stream that was cut and resumed as if nothing had happened', async () => {
    const { client } = await start([answerEventsThenCut([formatEvent(1, 'Two ')]), answerEvents([formatEvent(1, 'Two '), formatEvent(2, 'years.'), END_EVENT])])
    let text = ''
    await askStream(client, (part) => { text += part })
    expect(text).toBe('Two years.')
  })

  /*
   * A shopkeeper's app shows half of an answer as the whole one: the stream
   * ended early, and the library took the end of the connection for its end.
   */
  it.each<[string, readonly RawStep[]]>([
    ['cut and gone', [answerEventsThenCut([formatEvent(1, 'Two ')]), answerWhole('{}', {}, 404)]],
    ['cut on a server that died', [answerEventsThenCut([formatEvent(1, 'Two ')]), resetConnection]],
    ['ended without its end marker', [answerEvents([formatEvent(1, 'Two ')]), answerWhole('{}', {}, 404)]],
    ['never started', [resetConnection]]
  ])('throws when a stream was %s', async (_name, steps) => {
    const { client } = await start(steps)
    await expect(askStream(client, () => {})).rejects.toThrow(OpenAI.APIError)
  })

  it('throws when a whole answer was cut', async () => {
    const { client } = await start([answerThenCut({ 'content-type': 'application/json', 'content-length': '900' }, WHOLE)])
    await expect(askWhole(client)).rejects.toThrow(OpenAI.APIError)
  })

  it('shows the reason and the outcome of a refusal', async () => {
    const { client } = await start([refuseWith('overloaded')])
    await expect(askWhole(client)).rejects.toMatchObject({ status: 503, code: 'noBackendServer', error: { outcome: 'not-run' } })
  })

  it('comes back by itself after a refusal that was not run', async () => {
    const { client, backend } = await start([refuseWith('overloaded'), answerWhole(WHOLE)], 1)
    expect(await askWhole(client)).toBe('Two years.')
    expect(backend.requests.length).toBe(2)
  })

  it('does not repeat what is refused for good', async () => {
    const { client, backend } = await start([answerWhole(WHOLE)], 2)
    await expect(client.chat.completions.create({ model: 'unknown', messages: MESSAGES })).rejects.toThrow(OpenAI.NotFoundError)
    expect(backend.requests.length).toBe(0)
  })
})
