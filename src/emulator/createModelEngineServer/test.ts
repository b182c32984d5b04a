import { afterEach, describe, expect, it } from 'vitest'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import { composeAnswer } from '../composeAnswer/index.js'
import type { ModelEngineOptions } from '../createModelEngine/index.js'
import { createModelEngineServer, type ModelEngineServer } from './index.js'

const closers: (() => Promise<void>)[] = []

afterEach(async () => {
  for (const close of closers.splice(0)) await close()
})

const startServer = async (engine: Partial<ModelEngineOptions> = {}): Promise<ModelEngineServer> => {
  const server = await createModelEngineServer({ clock: createSystemClock(), engine: { decodeIntervalMs: 1, ...engine } })
  closers.push(server.close)
  return server
}

const messages = [{ role: 'user', content: 'Is there ravioli?' }]
const MAXIMUM_TOKENS = 6

const sendCompletionRequest = (server: ModelEngineServer, body: Readonly<Record<string, unknown>> = {}): Promise<Response> =>
  fetch(`${server.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-request-id': 'r1', 'x-client-account': 'kiosk', 'idempotency-key': 'k1' },
    body: JSON.stringify({ model: 'm', messages, max_tokens: MAXIMUM_TOKENS, ...body })
  })

const readUntilBroken = async (response: Response): Promise<{ text: string, broken: boolean }> => {
  let text = ''
  try {
    for await (const chunk of response.body!) text += Buffer.from(chunk).toString()
    return { text, broken: false }
  } catch {
    return { text, broken: true }
  }
}

const readEventIds = (text: string): readonly number[] => [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))

const readContent = (text: string): string =>
  [...text.matchAll(/^data: (\{.*)$/gm)].map(([, data]) => JSON.parse(data!).choices[0]?.delta?.content ?? '').join('')

describe('createModelEngineServer', () => {
  it('sends an answer that is not streamed, with usage and the request id', async () => {
    const response = await sendCompletionRequest(await startServer())
    const body = await response.json() as { readonly choices: unknown, readonly usage: unknown }
    expect(response.headers.get('x-request-id')).toBe('r1')
    expect(body.choices).toMatchObject([{ message: { content: composeAnswer(messages, MAXIMUM_TOKENS).text }, finish_reason: 'length' }])
    expect(body.usage).toEqual({ prompt_tokens: 5, completion_tokens: MAXIMUM_TOKENS, total_tokens: 5 + MAXIMUM_TOKENS, prompt_tokens_details: { cached_tokens: 0 } })
  })

  it('streams numbered events up to the end marker', async () => {
    const { text, broken } = await readUntilBroken(await sendCompletionRequest(await startServer(), { stream: true, stream_options: { include_usage: true } }))
    expect([broken, readContent(text), text.endsWith('data: [DONE]\n\n')]).toEqual([false, composeAnswer(messages, MAXIMUM_TOKENS).text, true])
    expect(readEventIds(text)).toEqual([1, 2, 3, 4, 5, 6, 7, 8, 9])
    expect(text).toContain('"cached_tokens":0')
  })

  it('records the requests that ran in a journal', async () => {
    const server = await startServer()
    await (await sendCompletionRequest(server)).text()
    const journal = await (await fetch(`${server.controlUrl}/journal`)).json()
    expect(journal).toMatchObject({ entries: [{ requestId: 'r1', idempotencyKey: 'k1', clientAccount: 'kiosk', path: '/v1/chat/completions', outcome: 'complete' }] })
  })

  // After a connection that broke during an answer, a caller would miss an event or get one twice.
  it('resumes a stream after the last event that the caller received', async () => {
    const server = await startServer()
    server.faults.apply({ fault: 'cutAnswer', count: 1, after: 3 })
    const first = await readUntilBroken(await sendCompletionRequest(server, { stream: true }))
    const rest = await readUntilBroken(await fetch(`${server.url}/v1/streams/r1?after=${readEventIds(first.text).at(-1)}`))
    expect([first.broken, readEventIds(first.text), readEventIds(rest.text)]).toEqual([true, [1, 2, 3], [4, 5, 6, 7, 8]])
    expect(readContent(first.text + rest.text)).toBe(composeAnswer(messages, MAXIMUM_TOKENS).text)
  })

  it('cancels a stream immediately', async () => {
    const server = await startServer({ decodeIntervalMs: 50 })
    const reading = sendCompletionRequest(server, { stream: true, max_tokens: 200 }).then(readUntilBroken)
    await expect.poll(() => server.engine.find('r1')?.emitted() ?? 0).toBeGreaterThan(0)
    expect((await fetch(`${server.url}/v1/streams/r1`, { method: 'DELETE' })).status).toBe(204)
    expect((await reading).broken).toBe(true)
    expect(server.engine.journal.entries()[0]?.outcome).toBe('cancelled')
  })

  it('cancels an answer that is not streamed when the caller closes the connection', async () => {
    const server = await startServer({ decodeIntervalMs: 50 })
    const controller = new AbortController()
    const asking = fetch(`${server.url}/v1/chat/completions`, { method: 'POST', signal: controller.signal, headers: { 'content-type': 'application/json' }, body: JSON.stringify({ model: 'm', messages, max_tokens: 200 }) })
    await expect.poll(() => server.engine.load().running).toBe(1)
    controller.abort()
    await expect(asking).rejects.toThrow()
    await expect.poll(() => server.engine.journal.entries()[0]?.outcome).toBe('cancelled')
  })

  it.each(['leaving', 'overloaded'])('refuses with x-not-run when %s, and returns the request id', async (fault) => {
    const server = await startServer()
    server.faults.apply({ fault })
    const response = await sendCompletionRequest(server)
    expect([response.status, response.headers.get('x-not-run'), response.headers.get('x-request-id')]).toEqual([503, fault, 'r1'])
    expect(server.engine.journal.entries()).toEqual([])
  })

  it('reports that it is leaving', async () => {
    const server = await startServer({ slots: 7 })
    server.faults.apply({ fault: 'leaving' })
    expect(await (await fetch(`${server.url}/load`)).json()).toMatchObject({ running: 0, waiting: 0, slots: 7, leaving: true })
  })

  it.each([[{ model: 'm' }], [{ model: 'm', messages: [] }], [{ model: 'm', messages, max_tokens: 0 }]])('refuses the malformed request %j', async (body) => {
    const server = await startServer()
    const response = await fetch(`${server.url}/v1/chat/completions`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
    expect(response.status).toBe(400)
  })
})

describe('createModelEngineServer with faults', () => {
  const toJson = JSON.stringify

  it.each<[string, { after: number }, { ids: readonly number[], broken: boolean, ended: boolean }]>([
    ['cutAnswer', { after: 2 }, { ids: [1, 2], broken: true, ended: false }],
    ['truncateAnswer', { after: 2 }, { ids: [1, 2], broken: false, ended: false }],
    ['duplicateEvent', { after: 2 }, { ids: [1, 2, 3, 3, 4, 5, 6, 7, 8], broken: false, ended: true }],
    ['lateAnswer', { after: 0 }, { ids: [1, 2, 3, 4, 5, 6, 7, 8], broken: false, ended: true }]
  ])('applies the fault %s to one stream only', async (fault, { after }, expected) => {
    const server = await startServer()
    server.faults.apply({ fault, count: 1, after, ms: 50 })
    const { text, broken } = await readUntilBroken(await sendCompletionRequest(server, { stream: true }))
    expect({ ids: readEventIds(text), broken, ended: text.endsWith('data: [DONE]\n\n') }).toEqual(expected)
    expect(readEventIds((await readUntilBroken(await sendCompletionRequest(server, { stream: true }))).text)).toHaveLength(8)
  })

  it.each<[string, number, boolean]>([['cutAnswer', 2, true], ['truncateAnswer', 2, false]])('ends an answer that is not streamed early with the fault %s', async (fault, after, expectedBroken) => {
    const server = await startServer()
    server.faults.apply({ fault, count: 1, after })
    const { text, broken } = await readUntilBroken(await sendCompletionRequest(server))
    expect([broken, text.length]).toEqual([expectedBroken, 32])
  })

  it('closes the connection before the first byte when cutAnswer has after 0', async () => {
    const server = await startServer()
    server.faults.apply({ fault: 'cutAnswer', count: 1 })
    await expect(sendCompletionRequest(server, { stream: true })).rejects.toThrow()
  })

  it('sends nothing more after freezeAnswer, and leaves the connection open', async () => {
    const server = await startServer()
    server.faults.apply({ fault: 'freezeAnswer', count: 1, after: 1 })
    const reader = (await sendCompletionRequest(server, { stream: true })).body!.getReader()
    expect(readEventIds(Buffer.from((await reader.read()).value!).toString())).toEqual([1])
    await expect.poll(() => server.engine.journal.entries()[0]?.outcome).toBe('complete')
    const next = reader.read().then(() => 'more')
    expect(await Promise.race([next, new Promise((resolve) => setTimeout(resolve, 50, 'nothing'))])).toBe('nothing')
    await reader.cancel()
  })

  it('resets the connection after it has read the request, and runs the request', async () => {
    const server = await startServer()
    server.faults.apply({ fault: 'resetAfterRead', count: 1 })
    await expect(sendCompletionRequest(server)).rejects.toThrow()
    expect(server.engine.journal.entries()).toHaveLength(1)
  })

  it.each([[false], [true]])('sends the answer to another request, streamed: %s', async (stream) => {
    const server = await startServer()
    server.faults.apply({ fault: 'crossedAnswer', count: 1 })
    const response = await sendCompletionRequest(server, { stream })
    expect(response.headers.get('x-request-id')).toBe('r1-crossed')
    expect(await response.text()).not.toContain('ravioli')
  })

  it('refuses connections, and accepts them again after a request to its control port', async () => {
    const server = await startServer()
    const post = (body: unknown) => fetch(`${server.controlUrl}/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: toJson(body) })
    await post({ fault: 'refuseConnections', on: true })
    await expect(sendCompletionRequest(server)).rejects.toThrow()
    await post({ fault: 'refuseConnections', on: false })
    expect((await sendCompletionRequest(server)).status).toBe(200)
    expect(server.engine.journal.entries()).toHaveLength(1)
  })

  it('does not answer a load probe', async () => {
    const server = await startServer()
    server.faults.apply({ fault: 'unresponsiveLoad' })
    await expect(fetch(`${server.url}/load`, { signal: AbortSignal.timeout(50) })).rejects.toThrow()
  })
})
