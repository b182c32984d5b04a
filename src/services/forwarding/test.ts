import { describe, expect, test } from 'vitest'
import { STREAM_HEAD, TIMEOUT_MS, startForwardingNode } from '../../../test/_lib/startForwardingNode.js'

describe('a recently started node', () => {
  test('defers requests until its initial state arrives, and then sends them at once', async () => {
    const node = startForwardingNode()
    node.call('r1', '/short/1')
    await node.clock.advanceAndSettle(100)
    expect([node.sent, node.answers]).toEqual([[], []])
    node.provideInitialState()
    expect(node.sent).toEqual(['r1'])
  })

  // Load pattern: after a power loss many requests are deferred at once. A short lookup sent after long streams would miss its deadline.
  test('sends deferred requests with the least time left first', async () => {
    const node = startForwardingNode()
    node.call('long-1', '/long/1')
    node.call('long-2', '/long/2')
    node.call('short-1', '/short/1')
    await node.clock.advanceAndSettle(60)
    node.provideInitialState()
    expect(node.sent).toEqual(['short-1', 'long-1', 'long-2'])
  })

  test('refuses a deferred request as not run after the maximum wait', async () => {
    const node = startForwardingNode()
    node.call('r1', '/short/1')
    await node.clock.advanceAndSettle(450)
    expect(node.answers).toEqual(['503 noConfiguration'])
    node.provideInitialState()
    expect(node.sent).toEqual([])
  })
})

describe('a node that is shutting down', () => {
  // Otherwise a request that is admitted in time and then waits for its body would be cut off when the node exits.
  test.each([[100, ['r1'], []], [800, [], ['503 shuttingDown']]])('checks the remaining time again after %i ms of waiting for a body', async (bodyAfterMs, sent, answers) => {
    const node = startForwardingNode()
    node.provideInitialState()
    node.beginShutdown(node.clock.now() + TIMEOUT_MS + 500)
    node.call('r1', '/short/1', bodyAfterMs)
    await node.clock.advanceAndSettle(bodyAfterMs + 1)
    expect([node.sent, node.answers]).toEqual([sent, answers])
  })

  // Otherwise callers are sent elsewhere although their own limit ends the request before the node exits.
  test.each([[400, ['r1'], []], [600, [], ['503 shuttingDown']]])('goes by the caller\'s limit of %i ms where that is shorter than the route\'s', async (callerTimeoutMs, sent, answers) => {
    const node = startForwardingNode()
    node.provideInitialState()
    node.beginShutdown(node.clock.now() + 500)
    node.call('r1', '/short/1', 0, { callerTimeoutMs })
    await node.clock.advanceAndSettle(1)
    expect([node.sent, node.answers]).toEqual([sent, answers])
  })

  /** Breaks off a stream after its first event, `remainingMs` before the node exits. */
  const breakStream = async (remainingMs: number) => {
    const node = startForwardingNode()
    node.provideInitialState()
    node.call('r1', '/stream/1')
    const [exchange] = node.exchanges
    exchange!.onSent()
    exchange!.onHead(STREAM_HEAD)
    exchange!.onData(Buffer.from('id: 1\ndata: x\n\n'))
    node.beginShutdown(node.clock.now() + remainingMs)
    await node.clock.advanceAndSettle(1)
    exchange!.onFailure({ kind: 'broken', message: 'reset' })
    return node
  }

  // Otherwise a retry would be cut off when the node exits, while the stream could have been resumed at another node at once.
  test('breaks off a stream at once when a retry could not complete it in time', async () => {
    const node = await breakStream(TIMEOUT_MS - 1_000)
    expect([node.sent, node.answers]).toEqual([['r1'], ['broken off']])
  })

  test('retries a stream whose deadline is before the node exits', async () => {
    const node = await breakStream(TIMEOUT_MS + 100)
    expect([node.sent, node.answers]).toEqual([['r1', 'r1'], []])
  })
})

describe('a key that is given to another client account', () => {
  const OTHER_ACCOUNT = { name: 'account-2', priority: 1 }
  const moveKey = (node: ReturnType<typeof startForwardingNode>): void => { node.state.accountsByKey = new Map([['key', OTHER_ACCOUNT]]) }

  const startWithKey = (bodyAfterMs = 0) => {
    const node = startForwardingNode()
    node.provideInitialState()
    node.call('r1', '/private/1', bodyAfterMs, { credential: 'key' })
    return node
  }

  // Guards against a request that runs for the account that held its key before, since its body took long to arrive.
  test('while the body of a request arrives has the request run for that account', async () => {
    const node = startWithKey(100)
    moveKey(node)
    await node.clock.advanceAndSettle(101)
    expect(node.accounts).toEqual(['account-2'])
  })

  test('before a retry has the retry run for that account', async () => {
    const node = startWithKey()
    node.exchanges[0]!.onSent()
    moveKey(node)
    node.exchanges[0]!.onFailure({ kind: 'broken', message: 'ECONNRESET' })
    expect(node.accounts).toEqual(['account-1', 'account-2'])
  })
})
