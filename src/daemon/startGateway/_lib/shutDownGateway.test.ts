import { connect } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { createGatewayHttp, type GatewayHttp } from '../../../adapters/gatewayHttp/index.js'
import { createSystemClock } from '../../../adapters/systemClock/index.js'
import { failure, success } from '../../../kernel/index.js'
import type { CallerSink, GatewayRequest, InstanceAnswer, Logger } from '../../../types/index.js'
import { shutDownGateway } from './shutDownGateway.js'

/** More than the buffers of the kernel take on loopback. */
const BODY = Buffer.alloc(32_000_000, 'x')
/** Longer than a stop without open requests lasts. */
const UNREAD_MS = 5_000
const GRACE_MS = 60_000

const clock = createSystemClock()
const ignore = (): void => {}
const logger: Logger = { error: ignore, warn: ignore, info: ignore, debug: ignore }
const REQUEST: GatewayRequest = { requestId: 'r1', method: 'GET', host: '', target: '/', headers: [], credential: undefined, callerTimeoutMs: undefined, lastEventId: undefined, promptParts: [], tokens: { prompt: 0, output: 0 }, receivedAt: 0 }
const ANSWER: InstanceAnswer = { backoffMs: undefined, isLeaving: false, status: 200, headers: [], requestId: 'r1', isSigned: true, isNotRun: false, isOtherInstance: false, load: undefined, contentLength: BODY.length, isEventStream: false, isEncoded: false }

const closing: (() => void)[] = []

afterEach(() => { for (const close of closing.splice(0).reverse()) close() })

const openGateway = (begin: (sink: CallerSink) => void): GatewayHttp => {
  const gateway = createGatewayHttp({
    host: '127.0.0.1',
    port: 0,
    clock,
    logger,
    dialect: { decodeRequest: ({ target }) => target === '/' ? success(REQUEST) : failure({ status: 404, reason: 'unknownRoute' }) },
    forwarding: { begin: (_request, sink) => ({ submit: () => begin(sink), reject: ignore, cancel: ignore }) },
    readLimits: () => undefined
  })
  closing.push(gateway.close)
  return gateway
}

// Guards against a process that ends while it still holds bytes of answers that count as complete.
test('waits for callers that have not read their answers to the end', async () => {
  const gateway = openGateway((sink) => sink.complete(ANSWER, BODY))
  const { host, port } = await gateway.listen()
  const socket = connect({ host, port })
  closing.push(() => { socket.destroy() })
  let received = 0
  const ended = new Promise<void>((resolve) => { socket.once('close', () => resolve()) })
  socket.write('GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n')
  const stopped = shutDownGateway({
    clock,
    logger,
    forwarding: { openRequests: () => 0, listOpen: () => [], beginShutdown: ignore, endOpen: ignore },
    announceLeaving: ignore,
    listeners: [gateway],
    graceMs: GRACE_MS,
    requestedAt: clock.now()
  }).then(gateway.close)
  await Promise.race([stopped, new Promise((resolve) => { setTimeout(resolve, UNREAD_MS) })])
  socket.on('data', (chunk: Buffer) => { received += chunk.length })
  await Promise.all([stopped, ended])
  expect(received).toBeGreaterThan(BODY.length)
})
