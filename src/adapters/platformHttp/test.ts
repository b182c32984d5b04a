import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createMemoryPlatform } from '../../emulator/createMemoryPlatform/index.js'
import { createPlatformServer, type PlatformFault, type PlatformServer } from '../../emulator/createPlatformServer/index.js'
import type { Platform, PlatformError, Result } from '../../types/index.js'
import { createSystemClock } from '../systemClock/index.js'
import { createPlatformHttp } from './index.js'

const clock = createSystemClock()
const closers: (() => Promise<unknown>)[] = []
const bytes = (text: string): Uint8Array => new Uint8Array(Buffer.from(text))
const text = (value: Uint8Array | undefined): string => Buffer.from(value ?? []).toString()

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close()
})

const startPair = async (options: { timeoutMs?: number } = {}): Promise<{ server: PlatformServer, platform: Platform }> => {
  const server = await createPlatformServer({ clock })
  const platform = createPlatformHttp({ url: server.url, timeoutMs: options.timeoutMs ?? 20_000 })
  closers.push(server.close, platform.close)
  return { server, platform }
}

const startRawServer = async (onData: (socket: Socket) => void): Promise<string> => {
  const server: Server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', () => onData(socket))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  closers.push(() => new Promise((resolve) => server.close(resolve)))
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

const value = <Value>(result: Result<Value, PlatformError>): Value => {
  if (!result.ok) throw new Error(`unexpected ${result.error.kind}`)
  return result.value
}

const errorKind = (result: Result<unknown, PlatformError>): string => result.ok ? 'none' : result.error.kind

const implementations: readonly (readonly [string, () => Promise<Platform>])[] = [
  ['in memory', async () => createMemoryPlatform(clock, { historyLimit: 5 })],
  ['over HTTP', async () => {
    const server = await createPlatformServer({ clock, platform: createMemoryPlatform(clock, { historyLimit: 5 }) })
    const platform = createPlatformHttp({ url: server.url, timeoutMs: 20_000 })
    closers.push(server.close, platform.close)
    return platform
  }]
]

describe.each(implementations)('the platform contract %s', (_name, create) => {
  it('reads back a created object, under a name with slashes and special characters', async () => {
    const platform = await create()
    const version = value(await platform.createObject('status/a b%2F?ž', bytes('x')))
    const found = value(await platform.readObject('status/a b%2F?ž'))
    expect([found?.name, found?.version, text(found?.bytes)]).toEqual(['status/a b%2F?ž', version, 'x'])
  })

  it('stores an empty object', async () => {
    const platform = await create()
    await platform.createObject('a', bytes(''))
    expect(value(await platform.readObject('a'))?.bytes.byteLength).toBe(0)
  })

  it('reads an absent object as undefined', async () => {
    expect(value(await (await create()).readObject('a'))).toBeUndefined()
  })

  it.each<[string, (platform: Platform, version: string) => Promise<Result<unknown, PlatformError>>]>([
    ['creating what exists', (platform) => platform.createObject('a', bytes('2'))],
    ['updating another version', (platform) => platform.updateObject('a', bytes('2'), '999')],
    ['updating what is absent', (platform, version) => platform.updateObject('b', bytes('2'), version)],
    ['deleting another version', (platform) => platform.deleteObject('a', '999')]
  ])('answers %s with a conflict and changes nothing', async (_case, act) => {
    const platform = await create()
    const version = value(await platform.createObject('a', bytes('1')))
    expect(errorKind(await act(platform, version))).toBe('conflict')
    expect(text(value(await platform.readObject('a'))?.bytes)).toBe('1')
  })

  it('changes the version with every update, also to equal bytes', async () => {
    const platform = await create()
    const first = value(await platform.createObject('a', bytes('1')))
    expect(value(await platform.updateObject('a', bytes('1'), first))).not.toBe(first)
  })

  it('can create an object again after it was deleted', async () => {
    const platform = await create()
    await platform.deleteObject('a', value(await platform.createObject('a', bytes('1'))))
    expect((await platform.createObject('a', bytes('2'))).ok).toBe(true)
  })

  it.each([[1_000_000, 'none'], [1_000_001, 'rejected']])('answers the creation of an object of %i bytes with error %s', async (size, expected) => {
    expect(errorKind(await (await create()).createObject('a', new Uint8Array(size)))).toBe(expected)
  })

  it('lists by prefix in order and continues after a name', async () => {
    const platform = await create()
    for (const name of ['p/c', 'p/a', 'q/z', 'p/b']) await platform.createObject(name, bytes(''))
    const first = value(await platform.listObjects('p/', { limit: 2 }))
    const rest = value(await platform.listObjects('p/', { after: first.continueAfter! }))
    expect([first.objects.map(({ name }) => name), first.continueAfter, first.revision]).toEqual([['p/a', 'p/b'], 'p/b', 4])
    expect([rest.objects.map(({ name }) => name), rest.continueAfter]).toEqual([['p/c'], undefined])
  })

  it('returns to a watch the changes since its revision, of its prefix only', async () => {
    const platform = await create()
    const version = value(await platform.createObject('p/a', bytes('')))
    await platform.createObject('q/b', bytes(''))
    await platform.deleteObject('p/a', version)
    const events = value(await platform.watchObjects('p/', 0, 10_000))
    expect(events.changes.map(({ name, kind }) => [name, kind])).toEqual([['p/a', 'put'], ['p/a', 'delete']])
    expect(events.revision).toBe(3)
  })

  it('answers a waiting watch when an object changes', async () => {
    const platform = await create()
    const waiting = platform.watchObjects('p/', 0, 20_000)
    await platform.createObject('q/other', bytes(''))
    await platform.createObject('p/a', bytes(''))
    expect(value(await waiting).changes.map(({ name }) => name)).toEqual(['p/a'])
  })

  it('ends a watch without changes at its timeout, with the revision to continue from', async () => {
    expect(value(await (await create()).watchObjects('p/', 0, 1))).toEqual({ revision: 0, changes: [] })
  })

  it.each([[0, 'revisionGone'], [1, 'none'], [7, 'revisionGone']])('answers a watch from revision %i of 1 to 6 with error %s', async (revision, expected) => {
    const platform = await create()
    for (const name of ['a', 'b', 'c', 'd', 'e', 'f']) await platform.createObject(name, bytes(''))
    expect(errorKind(await platform.watchObjects('', revision, 1))).toBe(expected)
  })
})

describe('createPlatformHttp when calls fail', () => {
  const acts: Readonly<Record<string, (platform: Platform) => Promise<Result<unknown, PlatformError>>>> = {
    create: (platform) => platform.createObject('a', bytes('1')),
    update: (platform) => platform.updateObject('a', bytes('1'), '1'),
    delete: (platform) => platform.deleteObject('a', '1'),
    read: (platform) => platform.readObject('a'),
    list: (platform) => platform.listObjects(''),
    watch: (platform) => platform.watchObjects('', 0, 1),
    vms: (platform) => platform.listVms()
  }
  const writes = ['create', 'update', 'delete']
  const cases = Object.keys(acts).map((act) => [act, writes.includes(act) ? 'outcomeUnknown' : 'unavailable'] as const)

  it.each(cases)('reports a %s that the platform refuses as unavailable', async (act) => {
    const { server, platform } = await startPair()
    server.faults.apply({ fault: 'outage' })
    expect(errorKind(await acts[act]!(platform))).toBe('unavailable')
  })

  it.each(cases)('reports a %s as unavailable when nothing listens', async (act) => {
    const { server, platform } = await startPair()
    await server.close()
    expect(errorKind(await acts[act]!(platform))).toBe('unavailable')
  })

  // Guards against reporting a write that hangs after it was sent as one without effect.
  it.each(cases)('reports a %s that hangs after it was sent as %s', async (act, expected) => {
    const { server, platform } = await startPair({ timeoutMs: 100 })
    server.faults.apply({ fault: 'hang' })
    expect(errorKind(await acts[act]!(platform))).toBe(expected)
  })

  it.each(cases)('reports a %s whose connection is reset after it was sent as %s', async (act, expected) => {
    const url = await startRawServer((socket) => socket.resetAndDestroy())
    const platform = createPlatformHttp({ url, timeoutMs: 20_000 })
    closers.push(platform.close)
    expect(errorKind(await acts[act]!(platform))).toBe(expected)
  })

  it.each(cases)('reports a %s with a status outside the contract as %s', async (act, expected) => {
    const url = await startRawServer((socket) => socket.end('HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n'))
    const platform = createPlatformHttp({ url, timeoutMs: 20_000 })
    closers.push(platform.close)
    expect(errorKind(await acts[act]!(platform))).toBe(expected)
  })

  // Guards against a client that retries a write by itself, and then reports a conflict with its own write.
  it('sends a write once when its reply is lost, and the write takes effect', async () => {
    const { server, platform } = await startPair()
    server.faults.apply({ fault: 'loseReplies', count: 1 })
    expect(errorKind(await platform.createObject('a', bytes('1')))).toBe('outcomeUnknown')
    expect(text(value(await platform.readObject('a'))?.bytes)).toBe('1')
    expect(server.calls()).toEqual({ 'PUT /objects': 1, 'GET /objects': 1 })
  })

  // Guards against sending a write after its timeout, when a connection becomes free.
  it('reports a write that never got a connection as unavailable, and does not send it later', async () => {
    const server = await createPlatformServer({ clock })
    const platform = createPlatformHttp({ url: server.url, timeoutMs: 200, maximumConnections: 1 })
    closers.push(server.close, platform.close)
    const watch = platform.watchObjects('', 0, 1500)
    expect(errorKind(await platform.createObject('a', bytes('1')))).toBe('unavailable')
    await watch
    expect(value(await platform.readObject('a'))).toBeUndefined()
    expect(server.calls()).toEqual({ 'GET /watch': 1, 'GET /objects': 1 })
  })
})

describe('createPlatformServer', () => {
  const postFault = (server: PlatformServer, body: unknown): Promise<Response> =>
    fetch(`${server.controlUrl}/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })

  it('switches a fault on for a number of calls', async () => {
    const { server, platform } = await startPair()
    await postFault(server, { fault: 'outage', count: 1 })
    expect(errorKind(await platform.readObject('a'))).toBe('unavailable')
    expect(errorKind(await platform.readObject('a'))).toBe('none')
  })

  it('switches a fault on and off', async () => {
    const { server, platform } = await startPair()
    await postFault(server, { fault: 'outage', on: true })
    expect(errorKind(await platform.listVms())).toBe('unavailable')
    await postFault(server, { fault: 'outage', on: false })
    expect(errorKind(await platform.listVms())).toBe('none')
  })

  it.each([[{ fault: 'nonsense' }], [{}], [{ fault: 'outage', count: -1 }]])('refuses the fault order %j', async (order) => {
    const { server } = await startPair()
    expect((await postFault(server, order)).status).toBe(400)
  })

  it('returns an outdated VM list while it lags', async () => {
    const { server, platform } = await startPair()
    const fault: PlatformFault = 'vmLag'
    server.faults.apply({ fault, ms: 3_600_000 })
    server.setVms([{ name: 'r1', kind: 'router', address: '127.0.0.1:1', availabilityZone: 'a', state: 'live' }])
    expect(value(await platform.listVms())).toEqual([])
    server.faults.clear()
    expect(value(await platform.listVms()).map(({ name }) => name)).toEqual(['r1'])
  })

  it('refuses an unconditional write', async () => {
    const { server } = await startPair()
    expect((await fetch(`${server.url}/objects/a`, { method: 'PUT', body: 'x' })).status).toBe(400)
  })
})

describe('a reply that can\'t be told from a part of itself', () => {
  const HEAD = 'HTTP/1.1 200 OK\r\netag: "1"\r\n'

  // Guards against an object of which a part is read as the whole: undici takes a reset for the end of a reply without a length.
  it.each([['reset', (socket: Socket) => { socket.resetAndDestroy() }], ['closed', (socket: Socket) => { socket.end() }]])('is no reply, %s without a length', async (_name, end) => {
    const url = await startRawServer((socket) => { socket.write(`${HEAD}\r\npart`, () => setTimeout(() => end(socket), 5)) })
    const platform = createPlatformHttp({ url, timeoutMs: 20_000 })
    closers.push(platform.close)
    expect(errorKind(await platform.readObject('configuration/root'))).toBe('unavailable')
    expect(errorKind(await platform.createObject('configuration/root', bytes('a')))).toBe('outcomeUnknown')
  })

  it.each(['000', '099', '600', '999'])('is no reply with status %s', async (status) => {
    const url = await startRawServer((socket) => { socket.write(`HTTP/1.1 ${status} Trouble\r\ncontent-length: 2\r\netag: "1"\r\n\r\nok`) })
    const platform = createPlatformHttp({ url, timeoutMs: 20_000 })
    closers.push(platform.close)
    expect(errorKind(await platform.readObject('configuration/root'))).toBe('unavailable')
    expect(errorKind(await platform.createObject('configuration/root', bytes('a')))).toBe('outcomeUnknown')
  })
})
