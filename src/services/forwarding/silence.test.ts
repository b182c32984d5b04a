/** Tests what the forwarding service does with an answer whose backend server sends nothing for a while. */
import { describe, expect, test } from 'vitest'
import { INSTANCE, STREAM_HEAD, TIMEOUT_MS, startForwardingNode } from '../../../test/_lib/startForwardingNode.js'
import type { BackendInstance, InstanceAnswer } from '../../types/index.js'

describe('a stream whose backend server is silent', () => {
  type Node = ReturnType<typeof startForwardingNode>

  /** Longer than the silence after which a stream is moved, and a tick. */
  const SILENCE_MS = 1_700
  const TICK_MS = 50

  const formatEvent = (id: number): Uint8Array => Buffer.from(`id: ${id}\ndata: x\n\n`)

  const startStream = (): Node => {
    const node = startForwardingNode()
    node.provideInitialState()
    node.call('r1', '/private/1', 0, { credential: 'key', promptParts: [{ id: 'shared', tokens: 10 }, { id: 'own', tokens: 10 }] })
    const [exchange] = node.exchanges
    exchange!.onSent()
    exchange!.onHead(STREAM_HEAD)
    exchange!.onData(formatEvent(1))
    return node
  }

  const obstacles: readonly (readonly [string, (node: Node) => void])[] = [
    ['the node is shutting down', (node) => node.beginShutdown(node.clock.now() + TIMEOUT_MS - 500)],
    ['its key can\'t be confirmed', (node) => { node.state.confirmedAgeMs = 10_000 }],
    ['a part of its prompt is quarantined', (node) => { node.state.verdict = { kind: 'refused', part: 'shared', nextTrialMs: 4_000, evidence: { service: 'plain', part: 'shared', endedServers: '', trials: 0, evidenceOf: 'own' } } }],
    ['a trial of a part of its prompt is due', (node) => { node.state.verdict = { kind: 'trialDue', part: 'shared' } }],
    ['no other backend server is left', (node) => { node.state.servers = [] }]
  ]

  // Guards against an exchange that is given up before it is certain that another one takes its place.
  test.each(obstacles)('keeps its exchange while %s', async (_what, obstruct) => {
    const node = startStream()
    obstruct(node)
    await node.clock.advanceAndSettle(SILENCE_MS)
    expect([node.sent, node.state.aborts, node.answers]).toEqual([['r1'], 0, []])
    node.exchanges[0]!.onData(formatEvent(2))
    node.exchanges[0]!.onEnd()
    expect(node.answers).toEqual(['complete'])
  })

  test('moves as soon as the obstacle has gone', async () => {
    const node = startStream()
    node.state.confirmedAgeMs = 10_000
    await node.clock.advanceAndSettle(SILENCE_MS)
    node.state.confirmedAgeMs = 0
    await node.clock.advanceAndSettle(100)
    expect([node.sent, node.state.aborts, node.answers]).toEqual([['r1', 'r1'], 0, []])
    node.exchanges[1]!.onSent()
    node.exchanges[1]!.onHead(STREAM_HEAD)
    expect([node.state.aborts, node.answers]).toEqual([1, []])
  })

  const startMovedStream = async (): Promise<Node> => {
    const node = startStream()
    while (node.sent.length < 2) await node.clock.advanceAndSettle(TICK_MS)
    return node
  }

  // Guards against an exchange that is given up for a server that can't be reached: a connection takes as long to fail as two may overlap.
  test('returns to its exchange when no connection to the other server is opened in time', async () => {
    const node = await startMovedStream()
    await node.clock.advanceAndSettle(250)
    node.exchanges[1]!.onFailure({ kind: 'notSent', message: 'ETIMEDOUT' })
    node.exchanges[0]!.onData(formatEvent(2))
    node.exchanges[0]!.onEnd()
    expect(node.answers).toEqual(['complete'])
  })

  // Guards against a server that is given up for the last words of the one that the request has left.
  test.each<readonly [string, Partial<InstanceAnswer>]>([
    ['states that it did not run it', { status: 503, isNotRun: true, isEventStream: false }],
    ['has failed', { status: 500, isEventStream: false }],
    ['answers another request', { requestId: 'r2' }]
  ])('goes on at the other server when the one before %s', async (_what, answer) => {
    const node = startForwardingNode()
    node.provideInitialState()
    node.call('r1', '/private/1', 0, { credential: 'key' })
    node.exchanges[0]!.onSent()
    await node.clock.advanceAndSettle(500)
    expect(node.sent).toEqual(['r1', 'r1'])
    node.exchanges[1]!.onSent()
    node.exchanges[0]!.onHead({ ...STREAM_HEAD, ...answer })
    node.exchanges[0]!.onEnd()
    node.exchanges[1]!.onHead(STREAM_HEAD)
    node.exchanges[1]!.onData(formatEvent(1))
    node.exchanges[1]!.onEnd()
    expect([node.sent, node.answers]).toEqual([['r1', 'r1'], ['complete']])
  })

  // Guards against a stream whose parts come from two software versions.
  test('is resumed at the version of the server to which it returned', async () => {
    const [first, other, third, fourth] = ['v1', 'v2', 'v2', 'v1'].map((softwareVersion, index) => ({ ...INSTANCE, id: `plain-${index + 1}`, softwareVersion })) as [BackendInstance, BackendInstance, BackendInstance, BackendInstance]
    const node = startForwardingNode()
    node.state.servers = [first]
    node.provideInitialState()
    node.call('r1', '/private/1', 0, { credential: 'key' })
    node.exchanges[0]!.onSent()
    node.state.servers = [first, other]
    await node.clock.advanceAndSettle(500)
    node.exchanges[1]!.onSent()
    node.exchanges[1]!.onHead({ ...STREAM_HEAD, status: 503, isNotRun: true, isEventStream: false })
    node.exchanges[0]!.onHead(STREAM_HEAD)
    node.exchanges[0]!.onData(formatEvent(1))
    node.state.servers = [first, other, third, fourth]
    node.exchanges[0]!.onFailure({ kind: 'broken', message: 'reset' })
    expect(node.targets).toEqual(['plain-1', 'plain-2', 'plain-4'])
  })
})

describe('a large answer that is no stream', () => {
  const LARGE_BYTES = 1_100_000

  /** An answer of which the caller has a part already, as it is too large to be buffered. */
  const startLargeAnswer = (): ReturnType<typeof startForwardingNode> => {
    const node = startForwardingNode()
    node.provideInitialState()
    node.call('r1', '/long/1')
    node.exchanges[0]!.onSent()
    node.exchanges[0]!.onHead({ ...STREAM_HEAD, isEventStream: false })
    node.exchanges[0]!.onData(Buffer.alloc(LARGE_BYTES))
    return node
  }

  // Guards against a second answer that can't be joined to the part that the caller has.
  test('stays with its backend server while that is silent', async () => {
    const node = startLargeAnswer()
    await node.clock.advanceAndSettle(2_000)
    expect([node.sent, node.state.aborts, node.answers]).toEqual([['r1'], 0, []])
    node.exchanges[0]!.onEnd()
    expect(node.answers).toEqual(['complete'])
  })

  // Guards against a second run for an answer that is broken off anyway.
  test('is broken off without another send when its connection breaks', () => {
    const node = startLargeAnswer()
    node.exchanges[0]!.onFailure({ kind: 'broken', message: 'reset' })
    expect([node.sent, node.answers]).toEqual([['r1'], ['broken off']])
  })
})
