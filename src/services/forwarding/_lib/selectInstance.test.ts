import { describe, expect, test } from 'vitest'
import { selectInstance } from './selectInstance.js'
import type { SelectionDependencies } from './selectInstance.js'
import type { BackendInstance, GatewayRequest } from '../../../types/index.js'

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

type Server = { readonly zone: string, readonly load: number, readonly isLeaving?: boolean, readonly isSuspended?: boolean, readonly isWarming?: boolean }

/** Selects a server for a request whose shared prefix is cached by the server `keeper`; zone `drained` is drained. */
const choose = (servers: Readonly<Record<string, Server>>, tried: readonly string[] = []) => {
  const instances = Object.entries(servers).map(([id, { zone, isLeaving }]) => createInstance(id, zone, isLeaving))
  const dependencies: SelectionDependencies = {
    registry: {
      list: () => instances.filter(({ isLeaving }) => !isLeaving),
      find: (id) => instances.find((instance) => instance.id === id),
      all: () => instances,
      recentlyRemoved: () => [],
      revision: () => 1,
      isKnown: () => true,
      warmUpLeftMs: () => 0,
      markGone: () => {},
      onChange: () => {}
    },
    health: { recordStart: () => {}, recordEnd: () => {}, recordBytes: () => {}, record: () => {}, isSuspended: ({ id }) => servers[id]?.isSuspended === true, readIdleMs: () => 0, compareWith: () => () => 1, retain: () => {} },
    directory: { record: () => {}, listCachedTokens: () => new Map([['keeper@1', 8_000]]), onRecovered: () => {} },
    loadView: { recordStart: () => {}, recordEnd: () => {}, estimateInFlight: (key) => servers[key.split('@')[0]!]?.load ?? 0, ownInFlight: () => 0, applyReport: () => {} },
    random: { next: () => 0.5, nextId: () => 'id' },
    zoneDrains: { isDrained: (zone) => zone === 'drained', isKnown: () => true, revision: () => 0, onChange: () => {} },
    warmUp: { remainingMs: () => 0, isLimitReached: ({ id }) => servers[id]?.isWarming === true, recordSend: () => {} },
    availabilityZone: 'a',
    regionByZone: new Map(),
    readLoadFactor: () => 2
  }
  return selectInstance(dependencies, { request: REQUEST, service: SERVICE, bodyBytes: 100, tried: new Set(tried), allowedRegions: [] })
}

const OPEN: Readonly<Record<string, Server>> = { keeper: { zone: 'a', load: 14 }, b: { zone: 'a', load: 6 }, c: { zone: 'b', load: 6 }, d: { zone: 'b', load: 6 } }

describe('selectInstance', () => {
  test('selects the server that caches the prompt while it is under the load bound', () =>
    expect(choose(OPEN)?.instance.id).toBe('keeper'))

  // A bound relative to the mean over the eligible servers only would be half as high again as configured when a third of all servers is drained.
  test.each<[string, Server]>([
    ['in a drained zone', { zone: 'drained', load: 0 }],
    ['that are warming up', { zone: 'a', load: 0, isWarming: true }],
    ['that are suspended', { zone: 'a', load: 0, isSuspended: true }],
    ['that are leaving', { zone: 'a', load: 0, isLeaving: true }]
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
