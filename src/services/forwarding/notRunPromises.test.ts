/** Tests that a caller is told that its request did not run only where that is proved, on each path to a final answer. */
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { promisesNotRun } from '../../decisions/selectFinalStatus/index.js'
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

const PEER = { nodeId: 'node-2', incarnation: 1, availabilityZone: 'a', address: { host: 'node-2', port: 1 } }

/** What the receiver of one send has done with the request, as the node can know it. */
type Send = { isSent: boolean, isProvenNotRun: boolean, hasEnded: boolean }

type Play = { readonly node: Node, readonly exchange: ExchangeListener, readonly send: Send, readonly isPeer: boolean, readonly status: number, readonly ms: number }

const refuseWith = ({ exchange, send }: Play, head: Partial<InstanceAnswer>): void => {
  if (!send.isSent) return
  send.isProvenNotRun = true
  send.hasEnded = true
  exchange.onHead(composeHead(503, head))
}

/** Events of a request, as the clients of servers and peers, the clock and the platform bring them. */
const events: Readonly<Record<string, (play: Play) => Promise<void> | void>> = {
  write: ({ exchange, send }) => {
    if (send.isSent) return
    send.isSent = true
    exchange.onSent()
  },
  refuse: (play) => refuseWith(play, play.isPeer ? { isNotRun: true, requestId: undefined, relayRefusal: 'instancesRefused' } : { isNotRun: true }),
  refuseWithoutServer: (play) => { if (play.isPeer) refuseWith(play, { isNotRun: true, requestId: undefined, relayRefusal: 'noInstance' }) },
  answer: ({ exchange, send, status }) => {
    if (!send.isSent) return
    send.hasEnded = true
    answer(exchange, status)
  },
  breakOff: ({ exchange, send }) => {
    send.hasEnded = true
    exchange.onFailure({ kind: send.isSent ? 'broken' : 'notSent', message: 'ECONNRESET' })
  },
  wait: ({ node, ms }) => node.clock.advanceAndSettle(ms),
  loseServers: ({ node }) => { node.state.isSuspended = !node.state.isSuspended },
  losePeer: ({ node }) => { node.state.peer = node.state.peer === undefined ? PEER : undefined },
  stop: ({ node }) => node.beginShutdown(node.clock.now() + 1_000),
  endOpen: ({ node }) => node.endOpen()
}

const steps = fc.array(fc.record({
  name: fc.constantFrom('write', 'write', ...Object.keys(events)),
  which: fc.nat(3),
  status: fc.constantFrom(404, 408, 429, 500, 503),
  ms: fc.constantFrom(60, 400, 1_700)
}), { maxLength: 14 })

/** Plays the events on one request, to its end; returns its sends. */
const playEvents = async (node: Node, drawn: readonly { readonly name: string, readonly which: number, readonly status: number, readonly ms: number }[]): Promise<readonly Send[]> => {
  const sends = new Map<ExchangeListener, Send>()
  const findSend = (exchange: ExchangeListener): Send => {
    const send = sends.get(exchange) ?? { isSent: false, isProvenNotRun: false, hasEnded: false }
    sends.set(exchange, send)
    return send
  }
  for (const { name, which, status, ms } of drawn) {
    const running = node.exchanges.filter((exchange) => !node.aborted.has(exchange) && !findSend(exchange).hasEnded)
    const exchange = running[which % Math.max(1, running.length)]
    if (exchange === undefined) break
    await events[name]!({ node, exchange, send: findSend(exchange), isPeer: node.targets[node.exchanges.indexOf(exchange)] === PEER.nodeId, status, ms })
  }
  await node.clock.advanceAndSettle(STREAM_TIMEOUT_MS + 100)
  return [...sends.values()]
}

describe('a request through any events', () => {
  // Guards against a send whose outcome is forgotten, on any order of sends, refusals, failures, waits, outages and stops.
  test('is called not run only if each of its sends is proved not to have run it', async () => {
    await fc.assert(fc.asyncProperty(fc.constantFrom('/order/1', '/once/1', '/short/1', '/stream/1', '/thrice/1'), steps, async (path, drawn) => {
      const node = startForwardingNode()
      node.provideInitialState()
      node.call('r1', path, 0, { callerTimeoutMs: STREAM_TIMEOUT_MS })
      const sends = await playEvents(node, drawn)
      const mayHaveRun = sends.some(({ isSent, isProvenNotRun }) => isSent && !isProvenNotRun)
      expect(node.countOpen()).toBe(0)
      expect(mayHaveRun && readStatuses(node).some(promisesNotRun)).toBe(false)
      // The other direction: a caller that may come back is told so.
      expect(!mayHaveRun && readStatuses(node).some((status) => status === 502 || status === 504)).toBe(false)
    }), { seed: 88, numRuns: 1_500 })
  }, 60_000)
})
