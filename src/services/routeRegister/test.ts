import { describe, expect, test } from 'vitest'
import { createRouteRegister, formatRouteKey } from './index.js'
import { createManualClock, type ManualClock } from '../../emulator/createManualClock/index.js'
import { failure, success } from '../../kernel/index.js'
import type { ConfigurationSource, GatewayConfiguration, GatewayRoute, RegisteredTarget, RouteTargetStore, StoredTargets } from '../../types/index.js'

/** Longer than a target stays in the register after its route leads elsewhere. */
const ENDED_MS = 60_000

const createRoute = (service: string, changes: Partial<GatewayRoute> = {}): GatewayRoute => ({
  name: 'chat', host: 'chat.example', pathPrefix: '/', targets: [{ service, weight: 1 }], retryPolicy: 'stream', isResumable: true, timeoutMs: 15_000, latencyTargetMs: 1_000, eventGapTargetMs: 300, maximumAttempts: 2, priority: 0, isPublic: true, ...changes
})

const ROUTE_KEY = formatRouteKey(createRoute(''))

const createStore = () => {
  let stored: StoredTargets | undefined
  const state = { isAway: false, writes: 0 }
  const store: RouteTargetStore = {
    read: async () => state.isAway ? failure({ kind: 'unavailable', message: 'away' }) : success(stored),
    write: async (targets, revision) => {
      if (state.isAway) return failure({ kind: 'unavailable', message: 'away' })
      if (revision !== stored?.revision) return success({ kind: 'conflict' })
      state.writes += 1
      stored = { targets, revision: (stored?.revision ?? 0) + 1 }
      return success({ kind: 'written', revision: stored.revision })
    }
  }
  const list = (): readonly string[] => (stored?.targets ?? []).map(({ service, endMark }: RegisteredTarget) => `${service}${endMark === '' ? '' : ' ended'}`)
  return { store, state, list }
}

const startNode = (clock: ManualClock, store: RouteTargetStore, { isReader = true } = {}) => {
  let configuration: GatewayConfiguration | undefined
  const source: ConfigurationSource = {
    read: async () => configuration === undefined ? failure({ kind: 'notFound' }) : success({ configuration, records: {} as never, revision: 1 }),
    decode: () => failure({ kind: 'notFound' })
  }
  const register = createRouteRegister({ clock, random: { next: () => 0.5 }, logger: { warn: () => {} }, store }, { isReader: () => isReader })
  const wrapped = register.api.wrap(source)
  const read = async (routes: readonly GatewayRoute[]): Promise<void> => {
    configuration = { version: (configuration?.version ?? 0) + 1, routes } as unknown as GatewayConfiguration
    const reading = wrapped.read()
    await clock.advanceAndSettle(400)
    expect((await reading).ok).toBe(true)
  }
  const begin = async (routes: readonly GatewayRoute[]): Promise<string> => {
    configuration = { version: (configuration?.version ?? 0) + 1, routes } as unknown as GatewayConfiguration
    return (await wrapped.read()).ok ? 'read' : 'failed'
  }
  return { register: register.api, begin, read, readAgain: () => wrapped.read() }
}

describe('createRouteRegister', () => {
  test('enters the targets of streams that can be taken up before the configuration is returned, and writes nothing that is there', async () => {
    const clock = createManualClock()
    const { store, state, list } = createStore()
    const one = startNode(clock, store)
    await one.read([createRoute('a'), createRoute('plain', { pathPrefix: '/plain/', retryPolicy: 'safe' }), createRoute('once', { pathPrefix: '/once/', isResumable: false })])
    await startNode(clock, store).read([createRoute('a')])
    expect([list(), state.writes, await one.register.readServices(ROUTE_KEY)]).toEqual([['a'], 1, ['a']])
  })

  // A stream that began at the service of before would go on at the one to which its route leads now.
  test('keeps the service of before for as long as its streams may be taken up, also over a start of all nodes', async () => {
    const clock = createManualClock()
    const { store, list } = createStore()
    await startNode(clock, store).read([createRoute('a')])
    const { register, read } = startNode(clock, store)
    await read([createRoute('b')])
    expect([list(), await register.readServices(ROUTE_KEY)]).toEqual([['a ended', 'b'], ['a', 'b']])
    await clock.advanceAndSettle(ENDED_MS)
    expect(list()).toEqual(['b'])
  })

  test('keeps a service to which the route leads again', async () => {
    const clock = createManualClock()
    const { store, list } = createStore()
    const { read } = startNode(clock, store)
    await read([createRoute('a')])
    await read([createRoute('b')])
    await read([createRoute('a')])
    await clock.advanceAndSettle(ENDED_MS)
    expect(list()).toEqual(['a'])
  })

  // Keys that a configuration revokes must not wait for the register; it proves nothing meanwhile.
  test('returns a configuration that can\'t be entered, proves nothing, and enters it with the next read', async () => {
    const clock = createManualClock()
    const { store, state, list } = createStore()
    const { register, read, readAgain } = startNode(clock, store)
    state.isAway = true
    await read([createRoute('a')])
    expect(await register.readServices(ROUTE_KEY)).toBeUndefined()
    state.isAway = false
    await readAgain()
    await clock.advanceAndSettle(0)
    expect(list()).toEqual(['a'])
  })

  // A node that has just started would be ready only after several round trips; only streams that may be resumed need the register.
  test('returns the first configuration of a process at once, and says until when streams wait; later ones wait themselves', async () => {
    const clock = createManualClock()
    const { store } = createStore()
    const { register, begin } = startNode(clock, { ...store, read: () => new Promise(() => {}) })
    expect(await begin([createRoute('a')])).toBe('read')
    expect(register.entering()).toBeDefined()
    const later = begin([createRoute('b')])
    await clock.advanceAndSettle(299)
    expect(await Promise.race([later, 'waits'])).toBe('waits')
    await clock.advanceAndSettle(2)
    expect([await later, register.entering()]).toEqual(['read', undefined])
  })

  // A node whose configuration may be late must not end what a newer one has begun.
  test('ends no target at a node that is not a reader', async () => {
    const clock = createManualClock()
    const { store, list } = createStore()
    await startNode(clock, store).read([createRoute('a')])
    await startNode(clock, store, { isReader: false }).read([createRoute('b')])
    expect(list()).toEqual(['a', 'b'])
  })
})
