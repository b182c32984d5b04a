import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { createRelayDialect, createRelayHttp, relayHeaders } from '../../src/adapters/relayHttp/index.js'
import { createSystemClock } from '../../src/adapters/systemClock/index.js'
import { createDialect } from '../../platform/createDialect/index.js'
import type { GatewayRequest, HeaderList, InstanceAnswer, RelayClient } from '../../src/types/index.js'

const FLEET_KEY = 'fleet key'
const ORIGIN = { nodeId: 'node-1', service: 'engines', tried: ['i,1', 'i-2'] }
const CALLER_HEADERS: HeaderList = [['host', 'shop.example'], ['X-Attempt-Id', 'r1'], ['Authorization', 'Bearer key-1'], ['X-Deadline-Ms', '5000'], ['X-Prompt-Prefix', 'aa:10,bb:5'], ['X-Token-Count', '15,7'], ['X-Other', 'kept']]

const closing: (() => void)[] = []

afterEach(() => { for (const close of closing.splice(0).reverse()) close() })

const listHeaders = ({ rawHeaders }: IncomingMessage): HeaderList =>
  rawHeaders.flatMap((name, index) => index % 2 === 0 ? [[name, rawHeaders[index + 1]!] as const] : [])

const decodeCaller = (): GatewayRequest => {
  const decoded = createDialect().decodeRequest({ method: 'POST', target: '/chat/1?x=2', headers: CALLER_HEADERS, receivedAt: 0 })
  if (!decoded.ok) throw new Error('the caller\'s request of the fixture is malformed')
  return decoded.value
}

const startPeer = async (answer: (response: ServerResponse) => void) => {
  const received: IncomingMessage[] = []
  const server = createServer((message, response) => {
    received.push(message)
    answer(response)
  })
  closing.push(() => { server.close() })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return { port: (server.address() as AddressInfo).port, received }
}

const startClient = (): RelayClient => {
  const client = createRelayHttp({ clock: createSystemClock(), dialect: createDialect(), fleetKey: FLEET_KEY })
  closing.push(client.close)
  return client
}

/** Sends a request to a peer, and returns what the peer received and the head of its answer. */
const relay = async (answer: (response: ServerResponse) => void = (response) => response.end('ok')) => {
  const { port, received } = await startPeer(answer)
  const peer = { nodeId: 'node-2', incarnation: 1, availabilityZone: 'a', address: { host: '127.0.0.1', port } }
  const head = await new Promise<InstanceAnswer>((resolve, reject) => {
    let first: InstanceAnswer | undefined
    startClient().send({ request: decodeCaller(), body: Buffer.from('hello'), peer, origin: ORIGIN, remainingMs: 1_200.7, resumeAfter: 3 }, {
      maySend: () => true,
      onSent: () => {},
      onHead: (decoded) => { first = decoded },
      onData: () => {},
      onEnd: () => resolve(first!),
      onFailure: ({ message }) => reject(new Error(message))
    })
  })
  const [message] = received
  return { head, message: message!, headers: listHeaders(message!) }
}

const decodeAt = (headers: HeaderList, fleetKey = FLEET_KEY) =>
  createRelayDialect(createDialect(), fleetKey).decodeRequest({ method: 'POST', target: '/chat/1?x=2', headers, receivedAt: 7 })

const withoutConnection = (request: GatewayRequest): GatewayRequest => ({ ...request, headers: request.headers.filter(([name]) => name.toLowerCase() !== 'connection') })

describe('a request for a peer', () => {
  test('is the caller\'s own there, with what is left of its time and the last event', async () => {
    const { headers, message } = await relay()
    expect([message.method, message.url]).toEqual(['POST', '/chat/1?x=2'])
    const decoded = decodeAt(headers)
    expect(decoded.ok && withoutConnection(decoded.value)).toEqual({ ...decodeCaller(), callerTimeoutMs: 1_200, lastEventId: 3, receivedAt: 7, relay: ORIGIN })
  })

  // Guards against callers that pass for a peer, whose requests skip the retry budget.
  test('is refused without a proof of the fleet key', async () => {
    const { headers } = await relay()
    expect(decodeAt(headers, 'another key').ok).toBe(false)
    expect(decodeAt(headers.filter(([name]) => !name.endsWith('proof'))).ok).toBe(false)
    expect(decodeAt(headers.map(([name, value]) => [name, name.endsWith('tried') ? '%' : value])).ok).toBe(false)
  })
})

describe('an answer of a peer', () => {
  const answerWith = (status: number, headers: readonly string[]) => (response: ServerResponse): void => { response.writeHead(status, [...headers]).end() }

  test('names the backend server that it comes from, and has none of the hop\'s headers', async () => {
    const { head } = await relay(answerWith(200, ['X-Attempt-Id', 'r1', 'X-Server-Stamp', 's', ...relayHeaders.servedBy({ servedBy: 'i,1', servedByVersion: 'v1,2' })]))
    expect(head).toMatchObject({ status: 200, requestId: 'r1', isSigned: true, isNotRun: false, servedBy: 'i,1', servedByVersion: 'v1,2' })
    expect(head.headers.filter(([name]) => name.toLowerCase().startsWith('dotterelspoke'))).toEqual([])
  })

  test.each([[503, true], [429, true], [401, true], [404, true], [502, false], [504, false]])('with status %i of its own states "not run": %s', async (status, isNotRun) => {
    const { head } = await relay(answerWith(status, relayHeaders.refusal({ status, reason: 'noInstance' })))
    expect(head).toMatchObject({ relayRefusal: 'noInstance', isNotRun })
  })

  // Guards against a server's word that is taken for the peer's: only a peer's own refusal proves that nothing ran.
  test.each([[421, []], [503, ['X-Not-Executed', '1']]] as const)('with status %i and no refusal of the peer proves nothing', async (status, headers) => {
    const { head } = await relay(answerWith(status, ['X-Attempt-Id', 'r1', ...headers]))
    expect(head).toMatchObject({ status, isNotRun: false, isOtherInstance: false })
  })

  // Guards against a retry through a peer that goes to the server whose answer the peer refused to pass on.
  test('that replaces the answer of a backend server names that server', async () => {
    const { head } = await relay(answerWith(502, relayHeaders.refusal({ status: 502, reason: 'unprovenRefusal', servedBy: 'i,1', servedByVersion: 'v1' })))
    expect(head).toMatchObject({ relayRefusal: 'unprovenRefusal', isNotRun: false, servedBy: 'i,1', servedByVersion: 'v1' })
  })

  test('with a failure status of the backend server is that server\'s answer', async () => {
    const { head } = await relay(answerWith(503, ['X-Attempt-Id', 'r1', 'X-Server-Stamp', 's', ...relayHeaders.servedBy({ servedBy: 'i-1' })]))
    expect(head).toMatchObject({ status: 503, isNotRun: false })
    expect(head.relayRefusal).toBeUndefined()
  })
})
