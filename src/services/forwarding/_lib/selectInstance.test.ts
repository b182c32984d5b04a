import { describe, expect, test } from 'vitest'
import { computeAvailableInMs, selectInstance } from './selectInstance.js'
import { createFakeDirectory } from '../../../../test/_lib/createFakeDirectory.js'
import type { SelectionDependencies, SelectionInput } from './selectInstance.js'
import { createServerWork } from '../../serverWork/index.js'
import type { BackendInstance, EngineCapacity, GatewayConfiguration, GatewayRequest } from '../../../types/index.js'

const SERVICE = 'engines'

const createInstance = (id: string, availabilityZone: string, isLeaving = false): BackendInstance =>
  ({ id, service: SERVICE, address: { host: id, port: 1 }, availabilityZone, slots: 64, isLeaving, incarnation: 1, warmUpMs: 0 })

const REQUEST: GatewayRequest = {
  requestId: 'r1',
  method: 'POST',
  host: 'shop.example',
  target: '/',
  headers: [],
  credential: undefined,
  callerTimeoutMs: undefined,
  lastEventId: undefined,
  promptParts: [{ id: 'menu', tokens: 8_000 }, { id: 'own', tokens: 100 }],
  tokens: { prompt: 8_100, output: 100 },
  receivedAt: 0
}

type Server = { readonly zone: string, readonly load: number, readonly isLeaving?: boolean, readonly isSuspended?: boolean, readonly isWarming?: boolean, readonly isReadingSlowly?: boolean, readonly backoffMs?: number, readonly unreadTokens?: number, readonly slowdown?: number }

const ENGINE: EngineCapacity = { slots: 64, memoryTokens: 200_000, bytesPerToken: 1, linkMbps: 1_000, canMove: false, canBackUp: false, copyLifetimeMs: 0, tokensPerEvent: 1 }

const createConfiguration = (engine?: EngineCapacity): GatewayConfiguration => ({
  version: 1,
  routes: [],
  services: new Map([[SERVICE, { name: SERVICE, healthPath: '/', maximumConnections: 100, isModelService: true, ...(engine === undefined ? {} : { engine }) }]]),
  limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  needsKeys: false,
  accountsByKey: new Map()
})

/** Creates the state in which the server `keeper` caches the request's shared prefix and zone `drained` is drained. */
const createDependencies = (servers: Readonly<Record<string, Server>>, engine?: EngineCapacity): SelectionDependencies => {
  const instances = Object.entries(servers).map(([id, { zone, isLeaving }]) => createInstance(id, zone, isLeaving))
  const loadView: SelectionDependencies['loadView'] = { recordStart: () => {}, recordEnd: () => {}, estimateInFlight: (key) => servers[key.split('@')[0]!]?.load ?? 0, ownInFlight: () => 0, readSource: () => ({ ageMs: 0 }), applyReport: () => {} }
  const { api: work } = createServerWork({
    clock: { now: () => 0 },
    loadView,
    logger: { warn: () => {} },
    configuration: { current: () => createConfiguration(engine) },
    readPeersUnread: (key) => ({ tokens: servers[key.split('@')[0]!]?.unreadTokens ?? 0, at: 0 })
  })
  for (const instance of instances) {
    const { slowdown } = servers[instance.id]!
    if (slowdown !== undefined) work.recordLoad(instance, { running: 0, waiting: 0, slots: 64, slowdown })
  }
  return {
    registry: {
      list: () => instances.filter(({ isLeaving }) => !isLeaving),
      find: (id) => instances.find((instance) => instance.id === id),
      all: () => instances,
      recentlyRemoved: () => [],
      revision: () => 1,
      isKnown: () => true,
      warmUpLeftMs: () => 0,
      markLeaving: () => {},
      markGone: () => {},
      onChange: () => {}
    },
    health: { recordStart: () => {}, recordEnd: () => {}, recordBytes: () => {}, record: () => {}, isSuspended: ({ id }) => servers[id]?.isSuspended === true, readIdleMs: () => 0, readUnheardMs: () => 0, compareWith: () => () => 1, retain: () => {} },
    notices: { record: () => {}, backoffRemainingMs: ({ id }) => servers[id]?.backoffMs ?? 0 },
    configuration: { current: () => undefined },
    directory: createFakeDirectory(new Map([['keeper@1', 8_000]])),
    loadView,
    work,
    random: { next: () => 0.5, nextId: () => 'id' },
    zoneDrains: { isDrained: (zone) => zone === 'drained', isKnown: () => true, revision: () => 0, onChange: () => {} },
    warmUp: { remainingMs: () => 0, isLimitReached: ({ id }) => servers[id]?.isWarming === true, recordSend: () => {} },
    refusals: { recordLimit: () => {}, isLimitReached: () => false, recordSend: () => () => {} },
    client: { isReadingSlowly: ({ id }) => servers[id]?.isReadingSlowly === true },
    availabilityZone: 'a',
    regionByZone: new Map(),
    readLoadFactor: () => 2
  }
}

const createInput = (tried: readonly string[] = []): SelectionInput => ({ request: REQUEST, service: SERVICE, bodyBytes: 100, tried: new Set(tried), allowedRegions: [] })

const choose = (servers: Readonly<Record<string, Server>>, tried: readonly string[] = []) => selectInstance(createDependencies(servers), createInput(tried))

const OPEN: Readonly<Record<string, Server>> = { keeper: { zone: 'a', load: 14 }, b: { zone: 'a', load: 6 }, c: { zone: 'b', load: 6 }, d: { zone: 'b', load: 6 } }

describe('selectInstance', () => {
  test('selects the server that caches the prompt while it is under the load bound', () =>
    expect(choose(OPEN)?.instance.id).toBe('keeper'))

  // A bound relative to the mean over the eligible servers only would be half as high again as configured when a third of all servers is drained.
  test.each<[string, Server]>([
    ['in a drained zone', { zone: 'drained', load: 0 }],
    ['that are warming up', { zone: 'a', load: 0, isWarming: true }],
    ['that are suspended', { zone: 'a', load: 0, isSuspended: true }],
    ['that are leaving', { zone: 'a', load: 0, isLeaving: true }],
    ['in backoff', { zone: 'a', load: 0, backoffMs: 1_000 }]
  ])('counts servers %s in the mean that bounds the load', (_what, closed) => {
    const chosen = choose({ ...OPEN, e: closed, f: closed })
    expect(chosen?.instance.id).not.toBe('keeper')
    expect(chosen?.loadEstimate).toMatchObject({ candidates: 4, underBound: 3 })
  })

  test('counts servers that the request was already sent to', () =>
    expect(choose({ ...OPEN, e: { zone: 'a', load: 0 }, f: { zone: 'a', load: 0 } }, ['e', 'f'])?.instance.id).not.toBe('keeper'))

  test('selects the least loaded server where all eligible ones are over the bound', () => {
    const drained: Server = { zone: 'drained', load: 0 }
    const servers = { keeper: { zone: 'a', load: 22 }, b: { zone: 'a', load: 20 }, c: drained, d: drained, e: drained, f: drained, g: drained }
    expect(choose(servers)).toMatchObject({ instance: { id: 'b' }, loadEstimate: { underBound: 0 } })
  })
})

describe('a server in backoff', () => {
  const IN_BACKOFF: Server = { zone: 'a', load: 0, backoffMs: 1_000 }

  // A server that refuses at once has the lowest load, which would draw the requests that it asked not to get.
  test('is not selected, whatever its load and its cache', () =>
    expect(choose({ keeper: IN_BACKOFF, b: { zone: 'a', load: 40 } })?.instance.id).toBe('b'))

  // Unlike a suspended server, it is no last resort.
  test('is not selected when no other server is left', () =>
    expect(choose({ keeper: IN_BACKOFF, b: { zone: 'a', load: 0 } }, ['b'])).toBeUndefined())

  test.each(['a', 'drained'])('is not asked for a copy of its cache (zone %s)', (zone) =>
    expect(choose({ keeper: { ...IN_BACKOFF, zone }, b: { zone: 'a', load: 0 } })?.copyPromptFrom).toBeUndefined())
})

describe('computeAvailableInMs', () => {
  const computeFor = (servers: Readonly<Record<string, Server>>, tried: readonly string[] = []): number =>
    computeAvailableInMs(createDependencies(servers), createInput(tried))

  test('returns the end of the first backoff', () =>
    expect(computeFor({ a: { zone: 'a', load: 0, backoffMs: 3_000 }, b: { zone: 'a', load: 0, backoffMs: 2_000 }, c: { zone: 'drained', load: 0 } })).toBe(2_000))

  test('counts servers that the request was already sent to', () =>
    expect(computeFor({ a: { zone: 'a', load: 0, backoffMs: 3_000 }, b: { zone: 'a', load: 0, backoffMs: 2_000 } }, ['b'])).toBe(2_000))

  test.each<[string, Server]>([['open', { zone: 'a', load: 0 }], ['suspended', { zone: 'a', load: 0, isSuspended: true }], ['warming up', { zone: 'a', load: 0, isWarming: true }]])('returns 0 with a server that is %s', (_what, server) =>
    expect(computeFor({ a: { zone: 'a', load: 0, backoffMs: 3_000 }, b: server })).toBe(0))

  test.each<[string, Readonly<Record<string, Server>>]>([['without servers', {}], ['in a drained zone only', { a: { zone: 'drained', load: 0 } }], ['that are leaving', { a: { zone: 'a', load: 0, isLeaving: true } }]])('knows no end %s', (_what, servers) =>
    expect(computeFor(servers)).toBe(Infinity))
})

describe('work before a server', () => {
  const ALIKE: Readonly<Record<string, Server>> = { b: { zone: 'a', load: 4 }, c: { zone: 'a', load: 4 } }
  const selectUnique = (servers: Readonly<Record<string, Server>>, engine?: EngineCapacity): string | undefined =>
    selectInstance(createDependencies(servers, engine), { ...createInput(), request: { ...REQUEST, promptParts: [] } })?.instance.id

  test.each(['b', 'c'])('keeps requests from the engine that has much to read (%s)', (busy) =>
    expect(selectUnique({ ...ALIKE, [busy]: { zone: 'a', load: 3, unreadTokens: 27_000 } }, ENGINE)).not.toBe(busy))

  test.each(['b', 'c'])('keeps requests from the server that states a slowdown, also of a service without engines (%s)', (slow) =>
    expect(selectUnique({ ...ALIKE, [slow]: { zone: 'a', load: 3, slowdown: 2.5 } })).not.toBe(slow))

  // A deployment that describes no engines must be served as before.
  test('counts for nothing where no engines are described', () =>
    expect(selectUnique({ ...ALIKE, b: { zone: 'a', load: 3, unreadTokens: 27_000 } })).toBe('b'))

  test('does not lift the load bound', () =>
    expect(selectUnique({ b: { zone: 'a', load: 40 }, c: { zone: 'a', load: 4, unreadTokens: 90_000 }, d: { zone: 'a', load: 4, unreadTokens: 90_000 } }, ENGINE)).not.toBe('b'))

  test('counts for a slot and for memory in its room', () => {
    const { work, registry } = createDependencies({ b: { zone: 'a', load: 63 }, c: { zone: 'a', load: 64 } }, ENGINE)
    expect([work.hasRoom(registry.find('b')!, { tokens: 200_000 }), work.hasRoom(registry.find('b')!, { tokens: 200_001 }), work.hasRoom(registry.find('c')!)]).toEqual([true, false, false])
  })
})

describe('a prompt that a server is still reading', () => {
  const ENGINE: EngineCapacity = { slots: 24, memoryTokens: 200_000, bytesPerToken: 100_000, linkMbps: 1_000_000, canMove: true, canBackUp: true, copyLifetimeMs: 5_000, tokensPerEvent: 5 }
  // The keeper is over the load bound, so that the prompt goes to another server.
  const SERVERS: Readonly<Record<string, Server>> = { keeper: { zone: 'a', load: 60 }, near: { zone: 'a', load: 2 }, far: { zone: 'b', load: 2 } }

  const chooseWith = (engine: EngineCapacity | undefined, copyableTokens: number) => {
    const dependencies = createDependencies(SERVERS)
    const current = () => ({ services: new Map([[SERVICE, { engine }]]) }) as unknown as GatewayConfiguration
    return selectInstance({
      ...dependencies,
      configuration: { current },
      directory: { ...dependencies.directory, listCopyableTokens: () => new Map([['keeper@1', copyableTokens]]) },
      random: { next: () => 0, nextId: () => 'id' }
    }, createInput())
  }

  // Guards against a copy from a server that is still reading: it brings nothing.
  test('is not copied from there', () => {
    expect(chooseWith(ENGINE, 8_000)).toMatchObject({ instance: { id: 'near' }, copyPromptFrom: { id: 'keeper' } })
    expect(chooseWith(ENGINE, 0)?.copyPromptFrom).toBe(undefined)
  })

  test('counts as cached where the engines are not described, as before', () =>
    expect(chooseWith(undefined, 0)).toMatchObject({ instance: { id: 'near' }, copyPromptFrom: { id: 'keeper' } }))
})

// Load pattern: a backend server stops reading; each further body would wait in the node until its request has failed.
describe('a backend server that does not take the bodies of requests', () => {
  test('gets no new ones, though it caches the prompt', () => {
    expect(choose({ keeper: { zone: 'a', load: 0, isReadingSlowly: true }, other: { zone: 'a', load: 3 } })?.instance.id).toBe('other')
  })

  test('gets none either where no other is left, as the request would not be read', () => {
    expect(choose({ keeper: { zone: 'a', load: 0, isReadingSlowly: true } })).toBe(undefined)
  })
})
