/** Runs the forwarding service alone, over fakes of everything around it, with a manual clock. */
import { createFakeDirectory } from './createFakeDirectory.js'
import { createManualClock } from '../../src/emulator/createManualClock/index.js'
import { createForwarding, type ForwardingDependencies } from '../../src/services/forwarding/index.js'
import type { QuarantineVerdict } from '../../src/services/promptQuarantine/index.js'
import { createServerWork } from '../../src/services/serverWork/index.js'
import type { BackendInstance, CallerSink, ExchangeListener, GatewayAccount, GatewayConfiguration, GatewayRequest, GatewayRoute, InstanceAnswer, Member, RelayPeer } from '../../src/types/index.js'

export const TIMEOUT_MS = 5_000

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
    createRoute('order', { retryPolicy: 'unsafe' }),
    createRoute('once', { retryPolicy: 'stream', timeoutMs: 12_000 }),
    createRoute('stream', { retryPolicy: 'stream', isResumable: true, timeoutMs: 12_000 }),
    createRoute('thrice', { retryPolicy: 'stream', isResumable: true, timeoutMs: 12_000, maximumAttempts: 3 }),
    createRoute('private', { retryPolicy: 'stream', isResumable: true, timeoutMs: 12_000, isPublic: false })
  ],
  services: new Map(),
  limits: { maximumHeaderBytes: 1_000, maximumBodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
  needsKeys: true,
  accountsByKey: new Map([['key', ACCOUNT]])
}

export const INSTANCE: BackendInstance = { id: 'plain-1', service: 'plain', address: { host: 'plain-1', port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0 }

export const OTHER_INSTANCE: BackendInstance = { ...INSTANCE, id: 'plain-2', address: { host: 'plain-2', port: 1 } }

export const STREAM_HEAD: InstanceAnswer = { backoffMs: undefined, isLeaving: false, status: 200, headers: [], requestId: 'r1', isSigned: true, isNotRun: false, isOtherInstance: false, load: undefined, contentLength: undefined, isEventStream: true, isEncoded: false }

const MEMBER: Member = { nodeId: 'node-1', incarnation: 1, address: { host: 'node-1', port: 1 }, availabilityZone: 'a', state: 'live', generation: 1 }

/** What throws while a request is handled, in place of a value that a consumer can't bear. */
export type ThrowingPart = 'choice' | 'send' | 'head' | 'bytes' | 'timer' | 'answer'

/** A recently started node, without configuration and server list until `provideInitialState`. */
export const startForwardingNode = () => {
  const clock = createManualClock()
  const state = { confirmedAgeMs: 0, verdict: { kind: 'open' } as QuarantineVerdict, servers: [INSTANCE, OTHER_INSTANCE] as readonly BackendInstance[], aborts: 0, throwsAt: undefined as ThrowingPart | undefined, contained: 0, peer: undefined as RelayPeer | undefined, isSuspended: false, hasCallerLeft: false, readAllowance: Infinity, accountsByKey: CONFIGURATION.accountsByKey }
  const throwAt = (part: ThrowingPart): void => { if (state.throwsAt === part) throw new TypeError(`thrown in ${part}`) }
  const sent: string[] = []
  const targets: string[] = []
  /** Client accounts of the sends to backend servers. */
  const accounts: (string | undefined)[] = []
  /** Ids and software versions of the streams that were recorded. */
  const begins: string[] = []
  const answers: string[] = []
  /** Statuses of the answers that were passed on as they arrived. */
  const heads: number[] = []
  const listeners: (() => void)[] = []
  const exchanges: ExchangeListener[] = []
  /** Exchanges that the node has given up; a client tells nothing of them any more. */
  const aborted = new Set<ExchangeListener>()
  const recordAbort = (exchange: ExchangeListener): void => {
    state.aborts += 1
    aborted.add(exchange)
  }
  let isKnown = false
  /** The backend server that gets the first request; sends to it throw where sends do. */
  let firstTarget: string | undefined
  const loadView = { recordStart: () => {}, recordEnd: () => {}, estimateInFlight: () => 0, ownInFlight: () => 0, readSource: () => undefined, applyReport: () => {} }
  const dependencies: ForwardingDependencies = {
    clock,
    random: { next: () => 0.5, nextId: () => 'id' },
    logger: { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} },
    metrics: { count: (name) => { if (name === 'contained_errors') state.contained += 1 }, observe: () => {}, readGauge: () => {} },
    configuration: {
      current: () => isKnown ? { ...CONFIGURATION, accountsByKey: state.accountsByKey } : undefined,
      version: () => isKnown ? 1 : 0,
      confirmedAgeMs: () => isKnown ? state.confirmedAgeMs : Infinity,
      confirm: async () => {},
      onChange: (listener) => { listeners.push(() => listener(CONFIGURATION)) }
    },
    registry: {
      list: () => {
        throwAt('choice')
        return state.servers
      },
      find: (id) => state.servers.find((server) => server.id === id),
      all: () => [INSTANCE],
      recentlyRemoved: () => [],
      revision: () => 1,
      isKnown: () => isKnown,
      warmUpLeftMs: () => 0,
      markLeaving: () => {},
      markGone: () => {},
      onChange: () => {}
    },
    health: { recordStart: () => {}, recordEnd: () => {}, recordBytes: () => throwAt('bytes'), record: () => {}, isSuspended: () => state.isSuspended, readIdleMs: () => { throwAt('timer'); return 0 }, readUnheardMs: () => 0, compareWith: () => () => 1, retain: () => {} },
    reach: { readOwn: () => ({ reachable: 2, known: 2 }), readPeer: () => 'unknown', countPeers: () => ({ some: 0, none: 0, unknown: 0 }) },
    refusals: { recordLimit: () => {}, isLimitReached: () => false, recordSend: () => () => {} },
    relays: {
      select: (_service, excluded) => state.peer === undefined || excluded.has(state.peer.nodeId) ? undefined : state.peer,
      send: ({ peer }, exchange) => {
        targets.push(peer.nodeId)
        exchanges.push(exchange)
        return { abort: () => recordAbort(exchange), pause: () => {}, resume: () => {} }
      },
      recordStart: () => {},
      recordEnd: () => {},
      recordBytes: () => {},
      recordFailure: () => {},
      recordAnswer: () => {},
      readIdleMs: () => 0
    },
    notices: { record: () => throwAt('head'), backoffRemainingMs: () => 0 },
    directory: createFakeDirectory(),
    loadView,
    streamVersions: { recordBegin: (_service, { requestId, softwareVersion }) => { begins.push(`${requestId} ${softwareVersion}`) }, find: async ({ targets }) => ({ kind: 'known', service: targets[0]?.service ?? '', softwareVersion: '', source: 'register' }), waitToBegin: () => undefined },
    serverEnds: { recordBreak: () => {}, recordBytes: () => {}, recordUnreachable: () => {} },
    quarantine: { inspect: () => state.verdict, claimTrial: async () => true, recordSound: () => {}, recordComplete: () => {} },
    work: createServerWork({ clock, loadView, logger: { warn: () => {} }, configuration: { current: () => CONFIGURATION }, readPeersUnread: () => undefined }).api,
    membership: { members: () => [MEMBER] },
    zoneDrains: { isDrained: () => false, isKnown: () => true, revision: () => 0, onChange: () => {} },
    warmUp: { remainingMs: () => 0, isLimitReached: () => false, recordSend: () => {} },
    client: {
      send: ({ request, instance, account }, exchange) => {
        firstTarget ??= instance.id
        if (instance.id === firstTarget) throwAt('send')
        sent.push(request.requestId)
        accounts.push(account)
        targets.push(instance.id)
        exchanges.push(exchange)
        return { abort: () => recordAbort(exchange), pause: () => {}, resume: () => {} }
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
  const refuse: CallerSink['refuse'] = ({ status, reason }) => {
    throwAt('answer')
    answers.push(`${status} ${reason}`)
  }
  const sink: CallerSink = { hasLeft: () => state.hasCallerLeft, refuse, complete: ({ status }) => { answers.push(`${status} of the server`) }, head: ({ status }) => { heads.push(status) }, data: () => true, onDrain: () => {}, readAllowance: () => state.readAllowance, end: () => { answers.push('complete') }, fail: () => { answers.push('broken off') } }
  return {
    clock,
    countOpen: forwarding.api.openRequests,
    state,
    sent,
    targets,
    accounts,
    begins,
    answers,
    heads,
    exchanges,
    aborted,
    endOpen: forwarding.api.endOpen,
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
