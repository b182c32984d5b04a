/**
 * Replays of load that a service cannot serve in full, on one node with servers that queue without
 * order when they are full. Each has its measure with and without the queue of the node.
 */
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { createForwarding } from './index.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createAdmission, defaultAdmissionOptions } from '../admission/index.js'
import { createFakeDirectory } from '../../../test/_lib/createFakeDirectory.js'
import { createServerWork } from '../serverWork/index.js'
import type { BackendInstance, CallerSink, ExchangeListener, GatewayConfiguration, GatewayRequest, GatewayRoute, InstanceAnswer, Member } from '../../types/index.js'

const SEED = 49
const SLOTS = 4
const SERVERS = 4
const CAPACITY = SLOTS * SERVERS

const createRoute = (name: string, changes: Partial<GatewayRoute>): GatewayRoute => ({
  name, host: 'shop.example', pathPrefix: `/${name}/`, targets: [{ service: 'desk', weight: 1 }], retryPolicy: 'safe', isResumable: false, timeoutMs: 1_000, latencyTargetMs: 300, eventGapTargetMs: 300, maximumAttempts: 1, priority: 1, isPublic: false, ...changes
})

/** Time that a server works on a request of each route, in milliseconds. */
const WORK_MS: Readonly<Record<string, number>> = { quick: 50, long: 600, order: 50 }

const ROUTES = [
  createRoute('quick', { priority: 0 }),
  createRoute('long', { priority: 2, latencyTargetMs: 1_000, timeoutMs: 4_000 }),
  createRoute('order', { retryPolicy: 'unsafe' })
]

const ACCOUNTS = ['busy', 'b', 'c', 'd', 'e']

const CONFIGURATION: GatewayConfiguration = {
  version: 1,
  routes: ROUTES,
  services: new Map(),
  limits: { maximumHeaderBytes: 1_000, maximumBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
  needsKeys: true,
  accountsByKey: new Map(ACCOUNTS.map((name) => [`key-${name}`, { name }]))
}

const INSTANCES = Array.from({ length: SERVERS }, (_, index): BackendInstance => ({ id: `desk-${index}`, service: 'desk', address: { host: `desk-${index}`, port: 1 }, availabilityZone: 'a', slots: SLOTS, isLeaving: false, incarnation: 1, warmUpMs: 0 }))

const MEMBER: Member = { nodeId: 'node-1', incarnation: 1, address: { host: 'node-1', port: 1 }, availabilityZone: 'a', state: 'live', generation: 1 }

const HEAD: InstanceAnswer = { backoffMs: undefined, isLeaving: false, status: 200, headers: [], requestId: undefined, isSigned: true, isNotRun: false, isOtherInstance: false, load: undefined, contentLength: undefined, isEventStream: false, isEncoded: false }

type Work = { readonly listener: ExchangeListener, readonly workMs: number, readonly requestId: string, isRunning: boolean, isAborted: boolean }

type Call = {
  readonly route: string
  readonly account: string
  readonly at: number
  finals: number
  sends: number
  answeredAfterMs?: number
  reason?: string
  retryAfterMs?: number
  leftAt?: number
}

type CallOptions = { readonly account?: string, readonly leavesAfterMs?: number | undefined, readonly onRefused?: (call: Call) => void, readonly target?: string, readonly lastEventId?: number }

const startNode = (controlsAdmission: boolean) => {
  const clock = createManualClock()
  const calls: Call[] = []
  const problems: string[] = []
  const byId = new Map<string, Call>()
  let configuration = CONFIGURATION
  let instances: readonly BackendInstance[] = INSTANCES
  const inFlight = new Map<string, number>()
  const servers = new Map(INSTANCES.map(({ id }) => [id, { running: 0, waiting: [] as Work[] }]))

  const startNext = (id: string): void => {
    const server = servers.get(id)!
    while (server.running < SLOTS) {
      const work = server.waiting.shift()
      if (work === undefined) return
      server.running += 1
      work.isRunning = true
      clock.setTimer(work.workMs, () => {
        if (work.isAborted) return
        work.isRunning = false
        server.running -= 1
        work.listener.onHead({ ...HEAD, requestId: work.requestId })
        work.listener.onEnd()
        startNext(id)
      })
    }
  }

  const count = (server: string, difference: number): void => { inFlight.set(server, (inFlight.get(server) ?? 0) + difference) }

  const { api: admission } = createAdmission({ clock, countSlots: () => 0, countEqualPart: () => instances.length * SLOTS }, { ...defaultAdmissionOptions, order: 'priority', pollIntervalMs: 25 })

  const loadView = { recordStart: (server: string) => count(server, 1), recordEnd: (server: string) => count(server, -1), estimateInFlight: (server: string) => inFlight.get(server) ?? 0, ownInFlight: () => 0, applyReport: () => {} }

  const forwarding = createForwarding({
    clock,
    random: { next: createSeededRandom(SEED).next, nextId: () => 'id' },
    logger: { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} },
    metrics: { count: () => {}, observe: () => {}, readGauge: () => {} },
    admission,
    configuration: { current: () => configuration, version: () => configuration.version, confirmedAgeMs: () => 0, confirm: async () => {}, onChange: () => {} },
    registry: { list: () => instances, find: (id) => instances.find((instance) => instance.id === id), all: () => instances, recentlyRemoved: () => [], revision: () => 1, isKnown: () => true, warmUpLeftMs: () => 0, markLeaving: () => {}, markGone: () => {}, onChange: () => {} },
    health: { recordStart: () => {}, recordEnd: () => {}, recordBytes: () => {}, record: () => {}, isSuspended: () => false, readIdleMs: () => 0, readUnheardMs: () => 0, compareWith: () => () => 1, retain: () => {} },
    reach: { readOwn: () => ({ reachable: 2, known: 2 }), readPeer: () => 'unknown', countPeers: () => ({ some: 0, none: 0, unknown: 0 }) },
    refusals: { recordLimit: () => {}, isLimitReached: () => false, recordSend: () => () => {} },
    relays: { select: () => undefined, send: () => ({ abort: () => {}, pause: () => {}, resume: () => {} }), recordStart: () => {}, recordEnd: () => {}, recordBytes: () => {}, recordFailure: () => {}, recordAnswer: () => {}, readIdleMs: () => 0 },
    notices: { record: () => {}, backoffRemainingMs: () => 0 },
    directory: createFakeDirectory(),
    loadView,
    work: createServerWork({ clock, loadView, logger: { warn: () => {} }, configuration: { current: () => configuration }, readPeersUnread: () => undefined }).api,
    membership: { members: () => [MEMBER] },
    zoneDrains: { isDrained: () => false, isKnown: () => true, revision: () => 0, onChange: () => {} },
    warmUp: { remainingMs: () => 0, isLimitReached: () => false, recordSend: () => {} },
    client: {
      send: ({ request, instance }, listener) => {
        const call = byId.get(request.requestId)!
        const server = servers.get(instance.id)!
        const work: Work = { listener, requestId: request.requestId, workMs: WORK_MS[call.route]!, isRunning: false, isAborted: false }
        call.sends += 1
        if (call.leftAt !== undefined) problems.push('sent after its caller left')
        if (clock.now() >= call.at + ROUTES.find(({ name }) => name === call.route)!.timeoutMs) problems.push('sent after its deadline')
        listener.onSent()
        server.waiting.push(work)
        startNext(instance.id)
        const abort = (): void => {
          work.isAborted = true
          server.waiting = server.waiting.filter((other) => other !== work)
          if (!work.isRunning) return
          work.isRunning = false
          server.running -= 1
          startNext(instance.id)
        }
        return { abort, pause: () => {}, resume: () => {} }
      },
      probe: async () => true,
      retain: () => {},
      close: () => {}
    }
  }, {
    nodeId: 'node-1',
    availabilityZone: 'a',
    readBounds: () => ({ loadFactor: 2, retryLimits: { ratio: 0.2, extra: 50, windowMs: 10_000 }, keyFreshnessMs: 4_500, configurationFreshnessMs: 2_000, controlsAdmission })
  })

  const call = (route: string, { account = 'b', leavesAfterMs, onRefused, target = String(calls.length), lastEventId }: CallOptions = {}): Call => {
    const requestId = `r${calls.length}`
    const made: Call = { route, account, at: clock.now(), finals: 0, sends: 0 }
    calls.push(made)
    byId.set(requestId, made)
    const end = (): void => {
      made.finals += 1
      if (made.leftAt !== undefined) problems.push('answered after its caller left')
    }
    const sink: CallerSink = {
      refuse: ({ reason, retryAfterMs }) => {
        end()
        Object.assign(made, { reason, retryAfterMs })
        onRefused?.(made)
      },
      complete: () => {
        end()
        made.answeredAfterMs = clock.now() - made.at
      },
      head: () => {},
      data: () => true,
      onDrain: () => {},
      end: () => {},
      fail: end
    }
    const request: GatewayRequest = { requestId, method: 'GET', host: 'shop.example', target: `/${route}/${target}`, headers: [], credential: `key-${account}`, callerTimeoutMs: undefined, lastEventId, promptParts: [], tokens: { prompt: 0, output: 0 }, receivedAt: clock.now() }
    const forwarded = forwarding.api.begin(request, sink)
    forwarded.submit(new Uint8Array())
    if (leavesAfterMs !== undefined) {
      clock.setTimer(leavesAfterMs, () => {
        if (made.finals > 0) return
        made.leftAt = clock.now()
        forwarded.cancel()
      })
    }
    return made
  }

  /** Calls at a steady rate, as a share of what all servers together can do. */
  const load = (route: string, share: number, forMs: number, createOptions: () => CallOptions = () => ({})): void => {
    const intervalMs = WORK_MS[route]! / CAPACITY / share
    for (let at = 0; at < forMs; at += intervalMs) clock.setTimer(at, () => { call(route, createOptions()) })
  }

  return {
    clock,
    calls,
    problems,
    call,
    load,
    forwarding: forwarding.api,
    inFlight: () => [...inFlight.values()].reduce((sum, requests) => sum + requests, 0),
    changeConfiguration: (changes: Partial<GatewayConfiguration>): void => { configuration = { ...configuration, version: configuration.version + 1, ...changes } },
    removeServers: (left: number): void => { instances = INSTANCES.slice(0, left) },
    share: (matches: (made: Call) => boolean, isGood: (made: Call) => boolean): number => {
      const matching = calls.filter(matches)
      return matching.filter(isGood).length / matching.length
    },
    /** Work that was answered in time, as a share of what the servers could do. */
    readGoodput: (forMs: number): number => calls.filter(isAnswered).reduce((sum, { route }) => sum + WORK_MS[route]!, 0) / (CAPACITY * forMs)
  }
}

const isAnswered = ({ answeredAfterMs }: Call): boolean => answeredAfterMs !== undefined

const isInTarget = ({ route, answeredAfterMs = Infinity }: Call): boolean => answeredAfterMs <= ROUTES.find(({ name }) => name === route)!.latencyTargetMs

const playBoth = async <Value>(play: (node: ReturnType<typeof startNode>) => Promise<Value>): Promise<readonly [withQueue: Value, without: Value]> =>
  [await play(startNode(true)), await play(startNode(false))]

describe('load beyond capacity', () => {
  // Servers without order would make short urgent requests wait behind the long ones.
  test('keeps urgent requests in time in a burst of three times of the longest kind', async () => {
    const [[urgent, goodput], [urgentWithout]] = await playBoth(async (node) => {
      node.load('quick', 0.3, 8_000)
      node.clock.advance(1_000)
      node.load('long', 3, 6_000)
      await node.clock.advanceAndSettle(12_000)
      return [node.share(({ route }) => route === 'quick', isInTarget), node.readGoodput(8_000)]
    })
    expect(urgent).toBeGreaterThan(0.95)
    expect(goodput).toBeGreaterThan(0.75)
    expect(urgentWithout).toBeLessThan(0.8)
  })

  // Requests that are sent when they can't be answered in time any more take the slots of those that could.
  test('serves what it accepts in time in a burst of three times', async () => {
    const [withQueue, without] = await playBoth(async (node) => {
      node.load('quick', 3, 3_000)
      await node.clock.advanceAndSettle(5_000)
      return { goodput: node.readGoodput(3_000), refusedAfterMs: node.calls.filter(({ reason }) => reason === 'deadlineBeforeSend').length }
    })
    expect(withQueue.goodput).toBeGreaterThan(0.9)
    expect(withQueue.refusedAfterMs).toBe(0)
    expect(without.goodput).toBeLessThan(0.8)
  })

  // One account that sends ten times its usual would take the slots of the others.
  test('keeps the other accounts served while one sends ten times its usual', async () => {
    const [calm, calmWithout] = await playBoth(async (node) => {
      for (const account of ACCOUNTS.slice(1)) node.load('quick', 0.15, 3_000, () => ({ account }))
      node.load('quick', 1.5, 3_000, () => ({ account: 'busy' }))
      await node.clock.advanceAndSettle(5_000)
      return node.share(({ account }) => account !== 'busy', isInTarget)
    })
    expect(calm).toBeGreaterThan(0.95)
    expect(calmWithout).toBeLessThan(0.8)
  })

  // Callers that repeat at once would be served more often than those that wait as they were told.
  test('serves callers that wait for their Retry-After as well as those that repeat at once three times', async () => {
    const [[patient, impatient]] = await playBoth(async (node) => {
      let callers = 0
      const served = { patient: [0, 0], impatient: [0, 0] }
      const start = (): CallOptions => {
        const kind = callers++ % 3 === 0 ? 'impatient' : 'patient'
        const target = `caller-${callers}`
        served[kind][1]! += 1
        let repeats = 0
        const again = (refused: Call): void => {
          if (repeats++ >= (kind === 'patient' ? 1 : 3)) return
          node.clock.setTimer(kind === 'patient' ? refused.retryAfterMs ?? 0 : 1, () => { follow(node.call('quick', { target, onRefused: again })) })
        }
        const follow = (made: Call): void => { node.clock.setTimer(1_500, () => { if (isAnswered(made)) served[kind][0]! += 1 }) }
        node.clock.setTimer(0, () => { const first = node.calls.findLast(({ at }) => at === node.clock.now()); if (first !== undefined) follow(first) })
        return { target, onRefused: again }
      }
      node.load('quick', 1.5, 3_000, start)
      await node.clock.advanceAndSettle(7_000)
      return [served.patient[0]! / served.patient[1]!, served.impatient[0]! / served.impatient[1]!] as const
    })
    expect(patient).toBeGreaterThan(0.6)
    expect(patient).toBeGreaterThan(impatient)
  })

  // The places and slots of callers that left would be served for nobody.
  test('keeps urgent requests in time and sends nothing late while half of the callers leave', async () => {
    const [withQueue, without] = await playBoth(async (node) => {
      let callers = 0
      node.load('quick', 0.3, 3_000)
      node.load('long', 4, 3_000, () => callers++ % 2 === 0 ? { leavesAfterMs: 300 } : {})
      await node.clock.advanceAndSettle(8_000)
      return { urgent: node.share(({ route }) => route === 'quick', isInTarget), problems: node.problems, open: node.forwarding.openRequests() }
    })
    expect(withQueue).toMatchObject({ problems: [], open: 0 })
    expect(withQueue.urgent).toBeGreaterThan(0.95)
    expect(without.urgent).toBeLessThan(0.8)
  })

  test('keeps urgent requests in time while a quarter of the servers goes in a burst', async () => {
    const [urgent, urgentWithout] = await playBoth(async (node) => {
      node.load('quick', 0.4, 6_000)
      node.load('long', 1.5, 6_000)
      node.clock.advance(2_000)
      node.removeServers(3)
      await node.clock.advanceAndSettle(10_000)
      return node.share(({ route }) => route === 'quick', isInTarget)
    })
    expect(urgent).toBeGreaterThan(0.95)
    expect(urgentWithout).toBeLessThan(0.8)
  })
})

describe('a request that waits', () => {
  const fill = (node: ReturnType<typeof startNode>): void => {
    for (let index = 0; index < CAPACITY; index++) node.call('long', { account: 'c' })
  }

  test.each([
    ['its key is revoked', { accountsByKey: new Map() }, 'unknownKey'],
    ['its route is removed', { routes: ROUTES.filter(({ name }) => name !== 'quick') }, 'unknownRoute']
  ])('is refused without a send when %s', async (_name, changes, reason) => {
    const node = startNode(true)
    fill(node)
    const made = node.call('quick')
    await node.clock.advanceAndSettle(10)
    node.changeConfiguration(changes)
    await node.clock.advanceAndSettle(100)
    expect([made.reason, made.sends]).toEqual([reason, 0])
  })

  test('is refused when the node shuts down and its answer would be late', async () => {
    const node = startNode(true)
    fill(node)
    const made = node.call('quick')
    node.forwarding.beginShutdown(node.clock.now() + 300)
    await node.clock.advanceAndSettle(100)
    expect([made.reason, made.sends]).toEqual(['shuttingDown', 0])
  })

  // Cut off at its deadline an order may have run, and its caller could not be told that it has not.
  test('is not sent as an order when it could not end in time', async () => {
    const node = startNode(true)
    fill(node)
    const made = node.call('order')
    await node.clock.advanceAndSettle(599)
    expect([made.reason, made.sends]).toEqual(['waitTooLong', 0])
  })

  test('does not wait when it resumes a stream', () => {
    const node = startNode(true)
    fill(node)
    expect(node.call('quick', { lastEventId: 3 }).sends).toBe(1)
  })

  test('does not wait where the settings do not ask for it', () => {
    const node = startNode(false)
    fill(node)
    expect(node.call('quick').sends).toBe(1)
  })
})

const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('call' as const), route: fc.constantFrom('quick', 'long', 'order'), account: fc.constantFrom(...ACCOUNTS), count: fc.integer({ min: 1, max: 12 }), leavesAfterMs: fc.option(fc.nat({ max: 600 }), { nil: undefined, freq: 4 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('pause' as const), ms: fc.nat({ max: 400 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('servers' as const), left: fc.nat({ max: SERVERS }) }) }
)

test('loses no request, answers none twice, sends none too late and gets every ticket back', async () => {
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), async (steps) => {
    const node = startNode(true)
    for (const current of steps) {
      if (current.kind === 'call') for (let index = 0; index < current.count; index++) node.call(current.route, current)
      if (current.kind === 'pause') await node.clock.advanceAndSettle(current.ms)
      if (current.kind === 'servers') node.removeServers(current.left)
    }
    await node.clock.advanceAndSettle(8_000)
    expect(node.problems).toEqual([])
    expect(node.calls.filter(({ finals, leftAt }) => finals !== (leftAt === undefined ? 1 : 0))).toEqual([])
    expect([node.forwarding.openRequests(), node.inFlight()]).toEqual([0, 0])
    // With a ticket lost, the node would believe that its slots are in use.
    node.removeServers(1)
    for (let index = 0; index < SLOTS; index++) expect(node.call('quick').sends).toBe(1)
  }), { seed: SEED, numRuns: 60 })
})
