import { describe, expect, test } from 'vitest'
import { createForwarding } from './index.js'
import { createFakeDirectory } from '../../../test/_lib/createFakeDirectory.js'
import type { ForwardingDependencies } from './index.js'
import { createServerWork } from '../serverWork/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { QuarantineVerdict } from '../promptQuarantine/index.js'
import type { BackendInstance, CallerSink, ExchangeListener, GatewayAccount, GatewayConfiguration, GatewayRequest, GatewayRoute, InstanceAnswer, Member } from '../../types/index.js'

const TIMEOUT_MS = 5_000

const createRoute = (name: string, changes: Partial<GatewayRoute>): GatewayRoute => ({
  name,
  host: 'shop.example',
  pathPrefix: `/${name}/`,
  targets: [{ service: 'plain', weight: 1 }],
  retryPolicy: 'safe',
  isResumable: false,
  timeoutMs: TIMEOUT_MS,
  latencyTargetMs: 300,
  eventGapTargetMs: 300,
  maximumAttempts: 2,
  priority: 1,
  isPublic: true,
  ...changes
})

const ACCOUNT: GatewayAccount = { name: 'account-1', priority: 1 }

const CONFIGURATION: GatewayConfiguration = {
  version: 1,
  routes: [
    createRoute('long', { latencyTargetMs: 800, priority: 0 }),
    createRoute('short', { latencyTargetMs: 200, priority: 2 }),
    createRoute('stream', { retryPolicy: 'stream', isResumable: true, timeoutMs: 12_000 }),
    createRoute('private', { retryPolicy: 'stream', isResumable: true, timeoutMs: 12_000, isPublic: false })
  ],
  services: new Map(),
  limits: { maximumHeaderBytes: 1_000, maximumBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
  needsKeys: true,
  accountsByKey: new Map([['key', ACCOUNT]])
}

const INSTANCE: BackendInstance = { id: 'plain-1', service: 'plain', address: { host: 'plain-1', port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0 }

const OTHER_INSTANCE: BackendInstance = { ...INSTANCE, id: 'plain-2', address: { host: 'plain-2', port: 1 } }

const STREAM_HEAD: InstanceAnswer = { backoffMs: undefined, isLeaving: false, status: 200, headers: [], requestId: 'r1', isSigned: true, isNotRun: false, isOtherInstance: false, load: undefined, contentLength: undefined, isEventStream: true, isEncoded: false }

const MEMBER: Member = { nodeId: 'node-1', incarnation: 1, address: { host: 'node-1', port: 1 }, availabilityZone: 'a', state: 'live', generation: 1 }

/** A recently started node, without configuration and server list until `provideInitialState`. */
const startNode = () => {
  const clock = createManualClock()
  const state = { confirmedAgeMs: 0, verdict: { kind: 'open' } as QuarantineVerdict, servers: [INSTANCE, OTHER_INSTANCE] as readonly BackendInstance[], aborts: 0 }
  const sent: string[] = []
  const answers: string[] = []
  const listeners: (() => void)[] = []
  const exchanges: ExchangeListener[] = []
  let isKnown = false
  const loadView = { recordStart: () => {}, recordEnd: () => {}, estimateInFlight: () => 0, ownInFlight: () => 0, readSource: () => undefined, applyReport: () => {} }
  const dependencies: ForwardingDependencies = {
    clock,
    random: { next: () => 0.5, nextId: () => 'id' },
    logger: { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} },
    metrics: { count: () => {}, observe: () => {}, readGauge: () => {} },
    configuration: {
      current: () => isKnown ? CONFIGURATION : undefined,
      version: () => isKnown ? 1 : 0,
      confirmedAgeMs: () => isKnown ? state.confirmedAgeMs : Infinity,
      confirm: async () => {},
      onChange: (listener) => { listeners.push(() => listener(CONFIGURATION)) }
    },
    registry: {
      list: () => state.servers,
      find: () => INSTANCE,
      all: () => [INSTANCE],
      recentlyRemoved: () => [],
      revision: () => 1,
      isKnown: () => isKnown,
      warmUpLeftMs: () => 0,
      markLeaving: () => {},
      markGone: () => {},
      onChange: () => {}
    },
    health: { recordStart: () => {}, recordEnd: () => {}, recordBytes: () => {}, record: () => {}, isSuspended: () => false, readIdleMs: () => 0, readUnheardMs: () => 0, compareWith: () => () => 1, retain: () => {} },
    reach: { readOwn: () => ({ reachable: 2, known: 2 }), readPeer: () => 'unknown', countPeers: () => ({ some: 0, none: 0, unknown: 0 }) },
    refusals: { recordLimit: () => {}, isLimitReached: () => false, recordSend: () => () => {} },
    relays: { select: () => undefined, send: () => ({ abort: () => {}, pause: () => {}, resume: () => {} }), recordStart: () => {}, recordEnd: () => {}, recordBytes: () => {}, recordFailure: () => {}, recordAnswer: () => {}, readIdleMs: () => 0 },
    notices: { record: () => {}, backoffRemainingMs: () => 0 },
    directory: createFakeDirectory(),
    loadView,
    streamVersions: { recordBegin: () => {}, find: async () => ({ kind: 'known', softwareVersion: '', source: 'onlyVersion' }) },
    serverEnds: { recordBreak: () => {}, recordBytes: () => {}, recordUnreachable: () => {} },
    quarantine: { inspect: () => state.verdict, claimTrial: async () => true, recordSound: () => {}, recordComplete: () => {} },
    work: createServerWork({ clock, loadView, logger: { warn: () => {} }, configuration: { current: () => CONFIGURATION }, readPeersUnread: () => undefined }).api,
    membership: { members: () => [MEMBER] },
    zoneDrains: { isDrained: () => false, isKnown: () => true, revision: () => 0, onChange: () => {} },
    warmUp: { remainingMs: () => 0, isLimitReached: () => false, recordSend: () => {} },
    client: {
      send: ({ request }, exchange) => {
        sent.push(request.requestId)
        exchanges.push(exchange)
        return { abort: () => { state.aborts += 1 }, pause: () => {}, resume: () => {} }
      },
      probe: async () => true,
      retain: () => {},
      close: () => {}
    }
  }
  const forwarding = createForwarding(dependencies, {
    nodeId: 'node-1',
    availabilityZone: 'a',
    countNodes: () => 1,
    isFirstStart: true,
    readBounds: () => ({ loadFactor: 2, retryLimits: { ratio: 0.2, extra: 50, windowMs: 10_000 }, keyFreshnessMs: 4_500, configurationFreshnessMs: 2_000 })
  })
  const sink: CallerSink = { refuse: ({ status, reason }) => { answers.push(`${status} ${reason}`) }, complete: () => {}, head: () => {}, data: () => true, onDrain: () => {}, end: () => { answers.push('complete') }, fail: () => { answers.push('broken off') } }
  return {
    clock,
    state,
    sent,
    answers,
    exchanges,
    beginShutdown: forwarding.api.beginShutdown,
    call: (requestId: string, path: string, bodyAfterMs = 0, changes: Partial<GatewayRequest> = {}): void => {
      const request: GatewayRequest = { requestId, method: 'GET', host: 'shop.example', target: path, headers: [], credential: undefined, callerTimeoutMs: TIMEOUT_MS, lastEventId: undefined, promptParts: [], tokens: { prompt: 0, output: 1_000 }, receivedAt: clock.now(), ...changes }
      const run = forwarding.api.begin(request, sink)
      if (bodyAfterMs === 0) run.submit(new Uint8Array())
      else clock.setTimer(bodyAfterMs, () => run.submit(new Uint8Array()))
    },
    provideInitialState: (): void => {
      isKnown = true
      for (const listener of listeners) listener()
    }
  }
}

describe('a recently started node', () => {
  test('defers requests until its initial state arrives, and then sends them at once', async () => {
    const node = startNode()
    node.call('r1', '/short/1')
    await node.clock.advanceAndSettle(100)
    expect([node.sent, node.answers]).toEqual([[], []])
    node.provideInitialState()
    expect(node.sent).toEqual(['r1'])
  })

  // Load pattern: after a power loss many requests are deferred at once. A short lookup sent after long streams would miss its deadline.
  test('sends deferred requests with the least time left first', async () => {
    const node = startNode()
    node.call('long-1', '/long/1')
    node.call('long-2', '/long/2')
    node.call('short-1', '/short/1')
    await node.clock.advanceAndSettle(60)
    node.provideInitialState()
    expect(node.sent).toEqual(['short-1', 'long-1', 'long-2'])
  })

  test('refuses a deferred request as not run after the maximum wait', async () => {
    const node = startNode()
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
    const node = startNode()
    node.provideInitialState()
    node.beginShutdown(node.clock.now() + TIMEOUT_MS + 500)
    node.call('r1', '/short/1', bodyAfterMs)
    await node.clock.advanceAndSettle(bodyAfterMs + 1)
    expect([node.sent, node.answers]).toEqual([sent, answers])
  })

  /** Breaks off a stream after its first event, `remainingMs` before the node exits. */
  const breakStream = async (remainingMs: number) => {
    const node = startNode()
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

describe('a stream whose backend server is silent', () => {
  type Node = ReturnType<typeof startNode>

  /** Longer than the silence after which a stream is moved, and a tick. */
  const SILENCE_MS = 1_700

  const formatEvent = (id: number): Uint8Array => Buffer.from(`id: ${id}\ndata: x\n\n`)

  const startStream = (): Node => {
    const node = startNode()
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
})

describe('a large answer that is no stream', () => {
  const LARGE_BYTES = 1_100_000

  /** An answer of which the caller has a part already, as it is too large to be buffered. */
  const startLargeAnswer = (): ReturnType<typeof startNode> => {
    const node = startNode()
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
