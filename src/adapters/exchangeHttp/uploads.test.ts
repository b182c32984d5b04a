/** Tests bodies on their way to receivers that read slowly, over real sockets. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { createExchangeHttp } from './index.js'
import { createSystemClock } from '../systemClock/index.js'
import type { InstanceAnswer } from '../../types/index.js'

const KEY = 'server@1'
/** More than the buffers of the kernel take on loopback. */
const LARGE_BODY = new Uint8Array(32_000_000)
const POLL_MS = 10

const closing: (() => void)[] = []

afterEach(() => { for (const close of closing.splice(0).reverse()) close() })

const waitUntil = async (isTrue: () => boolean): Promise<void> => { while (!isTrue()) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) }) }

const decodeAnswer = (status: number): InstanceAnswer =>
  ({ status, headers: [], requestId: undefined, isSigned: false, isNotRun: false, isOtherInstance: false, load: undefined, contentLength: undefined, isEventStream: false, isEncoded: false, backoffMs: undefined, isLeaving: false })

/** A server that reads the body of a request only once `read` is called. */
const start = async (isObserved = true) => {
  const held: { message: IncomingMessage, response: ServerResponse }[] = []
  const server = createServer((message, response) => { held.push({ message, response }) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const events: string[] = []
  const uploadListener = { onSlow: ({ key, unsentBytes, unansweredBytes }: { key: string, unsentBytes: number, unansweredBytes: number }) => { events.push(`slow ${key} ${unsentBytes > 0} ${unansweredBytes}`) }, onReading: (key: string) => { events.push(`reading ${key}`) } }
  const client = createExchangeHttp({ clock: createSystemClock(), decodeAnswer, connectTimeoutMs: 1_000, uploadListener: isObserved ? uploadListener : undefined })
  closing.push(() => { server.close() }, () => server.closeAllConnections(), client.close)
  let answers = 0
  const exchange = (body: Uint8Array) => client.send({ key: KEY, address: { host: '127.0.0.1', port }, method: 'POST', target: '/', headers: ['Host', 'a.example'], body }, {
    maySend: () => true, onSent: () => {}, onHead: () => {}, onData: () => {}, onEnd: () => { answers += 1 }, onFailure: () => {}
  })
  return {
    client,
    events,
    exchange,
    held,
    countAnswers: () => answers,
    read: () => {
      for (const { message, response } of held.splice(0)) {
        message.resume()
        message.on('end', () => response.end('ok'))
      }
    }
  }
}

describe('a receiver that reads slowly', () => {
  test('is known while it takes nothing, and counts as reading again once it has the body', async () => {
    const { client, events, exchange, held, countAnswers, read } = await start()
    exchange(LARGE_BODY)
    await waitUntil(() => client.isReadingSlowly(KEY))
    expect(client.countUploadBytes()).toMatchObject({ unanswered: LARGE_BODY.length })
    expect(client.countUploadBytes().unsent).toBeGreaterThan(0)
    await waitUntil(() => held.length > 0)
    read()
    await waitUntil(() => countAnswers() === 1)
    expect([client.isReadingSlowly(KEY), client.countUploadBytes(), events]).toEqual([false, { unsent: 0, unanswered: 0 }, [`slow ${KEY} true ${LARGE_BODY.length}`, `reading ${KEY}`]])
  })

  test('is not slow while it has taken the body and works', async () => {
    const { client, exchange, held } = await start()
    exchange(new Uint8Array(1_000))
    await waitUntil(() => held.length > 0)
    expect([client.isReadingSlowly(KEY), client.countUploadBytes()]).toEqual([false, { unsent: 0, unanswered: 1_000 }])
  })

  // Bytes of a request that was given up must not keep the receiver from new ones.
  test('is forgotten with the request that it did not take', async () => {
    const { client, exchange } = await start()
    const sent = exchange(LARGE_BODY)
    await waitUntil(() => client.isReadingSlowly(KEY))
    sent.abort()
    expect([client.isReadingSlowly(KEY), client.countUploadBytes()]).toEqual([false, { unsent: 0, unanswered: 0 }])
  })

  test('is not observed without a listener', async () => {
    const { client, exchange, held } = await start(false)
    exchange(LARGE_BODY)
    await waitUntil(() => held.length > 0)
    expect([client.isReadingSlowly(KEY), client.countUploadBytes()]).toEqual([false, { unsent: 0, unanswered: 0 }])
  })
})
