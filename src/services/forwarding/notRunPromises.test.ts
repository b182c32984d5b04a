/** Tests that a caller is told that its request did not run only where that is proved, on each path to a final answer. */
import { describe, expect, test } from 'vitest'
import { STREAM_HEAD, TIMEOUT_MS, startForwardingNode } from '../../../test/_lib/startForwardingNode.js'
import type { ExchangeListener, InstanceAnswer } from '../../types/index.js'

type Node = ReturnType<typeof startForwardingNode>

const UNPROVEN_STATUSES = [408, 429, 503]
const STREAM_TIMEOUT_MS = 12_000

const begin = (path: string, changes: Partial<Node['state']> = {}): Node => {
  const node = startForwardingNode()
  node.provideInitialState()
  Object.assign(node.state, changes)
  node.call('r1', path, 0, path.startsWith('/private/') ? { credential: 'key', callerTimeoutMs: STREAM_TIMEOUT_MS } : { callerTimeoutMs: STREAM_TIMEOUT_MS })
  node.exchanges.at(-1)!.onSent()
  return node
}

const composeHead = (status: number, changes: Partial<InstanceAnswer> = {}): InstanceAnswer => ({ ...STREAM_HEAD, status, isEventStream: false, ...changes })

const answer = (exchange: ExchangeListener, status: number, body = 'failed'): void => {
  exchange.onHead(composeHead(status))
  exchange.onData(Buffer.from(body))
  exchange.onEnd()
}

/** Sends the retry that the node has begun. */
const takeRetry = (node: Node): ExchangeListener => {
  const exchange = node.exchanges.at(-1)!
  exchange.onSent()
  return exchange
}

/** Each leads to a final answer after a server's failure with this status. */
const paths: readonly (readonly [string, (status: number) => Promise<Node> | Node])[] = [
  ['of a request that must not run twice', (status) => {
    const node = begin('/order/1')
    answer(node.exchanges[0]!, status)
    return node
  }],
  ['of a stream that may not be resumed', (status) => {
    const node = begin('/once/1')
    answer(node.exchanges[0]!, status)
    return node
  }],
  ['when the attempts are used up', (status) => {
    const node = begin('/short/1')
    answer(node.exchanges[0]!, status)
    answer(takeRetry(node), status)
    return node
  }],
  ['when a retry is refused with proof', (status) => {
    const node = begin('/short/1')
    answer(node.exchanges[0]!, status)
    takeRetry(node).onHead(composeHead(503, { isNotRun: true }))
    return node
  }],
  ['when a retry reaches no server', (status) => {
    const node = begin('/short/1')
    answer(node.exchanges[0]!, status)
    node.exchanges[1]!.onFailure({ kind: 'notSent', message: 'ECONNREFUSED' })
    return node
  }],
  ['at the deadline of a retry', async (status) => {
    const node = begin('/short/1')
    answer(node.exchanges[0]!, status)
    takeRetry(node)
    await node.clock.advanceAndSettle(TIMEOUT_MS + 100)
    return node
  }],
  ['at the end of a shutdown', (status) => {
    const node = begin('/short/1')
    answer(node.exchanges[0]!, status)
    node.endOpen()
    return node
  }],
  ['on a node that stops before a retry would end', (status) => {
    const node = begin('/stream/1')
    node.beginShutdown(node.clock.now() + 500)
    answer(node.exchanges[0]!, status)
    return node
  }],
  ['when the key can\'t be confirmed for a retry', async (status) => {
    const node = begin('/private/1')
    node.state.confirmedAgeMs = 10_000
    answer(node.exchanges[0]!, status)
    await node.clock.advanceAndSettle(10)
    return node
  }],
  ['when the prompt is quarantined before a retry', (status) => {
    const node = startForwardingNode()
    node.provideInitialState()
    node.call('r1', '/stream/1', 0, { promptParts: [{ id: 'p1', tokens: 10 }, { id: 'p2', tokens: 10 }] })
    node.exchanges[0]!.onSent()
    node.state.verdict = { kind: 'refused', part: 'p1', nextTrialMs: 1_000, evidence: { service: 'plain', part: 'p1', endedServers: '', trials: 0, evidenceOf: 'own' } }
    answer(node.exchanges[0]!, status)
    return node
  }]
]

const readStatuses = (node: Node): readonly number[] => [...node.heads, ...node.answers.map((text) => Number.parseInt(text, 10))]

describe.each(UNPROVEN_STATUSES)('a server\'s %i that does not prove that it did not run the request', (status) => {
  // Guards against a request that runs twice: its caller repeats it on the promise of this status.
  test.each(paths)('promises nothing %s', async (_, play) => {
    const node = await play(status)
    expect([node.countOpen(), readStatuses(node)]).toEqual([0, [expect.toSatisfy((sent: number) => sent === 502 || sent === 504)]])
  })

  // Guards against the head of an answer that is too long to be held, which is passed on before its end.
  test('promises nothing in an answer that is too long to be held', () => {
    const node = begin('/order/1', { readAllowance: 3 })
    answer(node.exchanges[0]!, status)
    expect([node.countOpen(), readStatuses(node)]).toEqual([0, [502]])
  })

  // Guards against a retry that is not made because the answer is no longer passed on.
  test.each(['/short/1', '/stream/1'])('is retried where that is allowed (%s)', (path) => {
    const node = begin(path)
    answer(node.exchanges[0]!, status)
    expect([node.sent, new Set(node.targets).size]).toEqual([['r1', 'r1'], 2])
    answer(takeRetry(node), 404)
    expect(node.answers).toEqual(['404 of the server'])
  })
})

describe('a request that surely did not run', () => {
  // Guards against a caller that does not come back because a proven refusal promises nothing.
  test.each<[string, (node: Node) => void]>([
    ['is refused by all servers with proof', (node) => {
      node.exchanges[0]!.onHead(composeHead(503, { isNotRun: true }))
      takeRetry(node).onHead(composeHead(429, { isNotRun: true }))
    }],
    ['is refused by a server that is another one', (node) => {
      node.exchanges[0]!.onHead(composeHead(421, { isOtherInstance: true }))
      takeRetry(node).onHead(composeHead(421, { isOtherInstance: true }))
    }],
    ['reaches no server after a refusal', (node) => {
      node.exchanges[0]!.onHead(composeHead(503, { isNotRun: true }))
      node.exchanges[1]!.onFailure({ kind: 'notSent', message: 'ECONNREFUSED' })
    }]
  ])('is answered 503 when it %s', (_, play) => {
    const node = begin('/order/1')
    play(node)
    expect([node.countOpen(), readStatuses(node)]).toEqual([0, [503]])
  })
})
