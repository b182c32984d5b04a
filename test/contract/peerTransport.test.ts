/** Contract tests for peer transports, run against the TCP and the in-memory implementation. */
import { afterEach, describe, expect, it } from 'vitest'
import { createPeerTcp } from '../../src/adapters/peerTcp/index.js'
import { createSystemClock } from '../../src/adapters/systemClock/index.js'
import { createSystemRandom } from '../../src/adapters/systemRandom/index.js'
import { createMemoryPeerNetwork } from '../../src/emulator/createMemoryPeerNetwork/index.js'
import type { PeerAddress, PeerTransport } from '../../src/types/index.js'

type CountingTransport = PeerTransport & { readonly address: () => PeerAddress, readonly bytesSent: () => ReadonlyMap<string, number> }

const clock = createSystemClock()
const random = createSystemRandom()
const TIMEOUT_MS = 20_000
const SHORT_TIMEOUT_MS = 50

const createTcp = async (): Promise<CountingTransport> => {
  const transport = createPeerTcp({ host: '127.0.0.1', port: 0, fleetKey: 'a fleet key for tests', maximumFrameBytes: 1_000_000, clock, random })
  await transport.listen()
  return transport
}

const createMemory = () => {
  const network = createMemoryPeerNetwork({ clock })
  let port = 1
  return async (): Promise<CountingTransport> => network.createTransport({ host: 'memory', port: port++ })
}

describe.each([
  { name: 'TCP', prepare: () => createTcp },
  { name: 'memory', prepare: createMemory }
])('a peer transport on $name', ({ prepare }) => {
  const opened: PeerTransport[] = []

  const createPair = async () => {
    const create = prepare()
    const one = await create()
    const other = await create()
    opened.push(one, other)
    return { one, other }
  }

  afterEach(async () => {
    for (const transport of opened.splice(0)) await transport.close()
  })

  it('carries a request and its reply', async () => {
    const { one, other } = await createPair()
    other.handle('directoryLookup', ({ chatKey }) => ({ kind: 'directoryEntry', backendServer: `server of ${chatKey}` }))
    const result = await one.request(other.address(), { kind: 'directoryLookup', chatKey: 'chat-1' }, TIMEOUT_MS)
    expect(result).toEqual({ ok: true, value: { kind: 'directoryEntry', backendServer: 'server of chat-1' } })
  })

  it('gives each of many open requests its own reply', async () => {
    const { one, other } = await createPair()
    other.handle('directoryLookup', async ({ chatKey }) => {
      if (chatKey.endsWith('0')) await new Promise((resolve) => { setImmediate(resolve) })
      return { kind: 'directoryEntry', backendServer: chatKey }
    })
    const keys = Array.from({ length: 50 }, (_, index) => `chat-${index}`)
    const results = await Promise.all(keys.map((chatKey) => one.request(other.address(), { kind: 'directoryLookup', chatKey }, TIMEOUT_MS)))
    expect(results.filter((result) => !result.ok)).toEqual([])
    expect(results.map((result) => result.ok && result.value.kind === 'directoryEntry' && result.value.backendServer)).toEqual(keys)
  })

  it('carries bytes unchanged', async () => {
    const { one, other } = await createPair()
    const bytes = new Uint8Array([0, 255, 7])
    other.handle('chunkRequest', () => ({ kind: 'chunk', bytes }))
    const result = await one.request(other.address(), { kind: 'chunkRequest', hash: '' }, TIMEOUT_MS)
    expect(result.ok && result.value.kind === 'chunk' && [...result.value.bytes!]).toEqual([0, 255, 7])
  })

  it('delivers one-way messages in order', async () => {
    const { one, other } = await createPair()
    const received: string[] = []
    const all = new Promise<void>((resolve) => {
      other.handle('directoryStore', ({ chatKey }) => {
        received.push(chatKey)
        if (received.length === 3) resolve()
        return { kind: 'none' }
      })
    })
    for (const chatKey of ['a', 'b', 'c']) one.send(other.address(), { kind: 'directoryStore', chatKey, backendServer: 'engine-1' })
    await all
    expect(received).toEqual(['a', 'b', 'c'])
  })

  it.each([
    { case: 'there is no handler', prepareHandler: () => {} },
    { case: 'the handler throws', prepareHandler: (other: CountingTransport) => other.handle('rootRequest', () => { throw new Error('broken') }) }
  ])('reports a request as unhandled when $case', async ({ prepareHandler }) => {
    const { one, other } = await createPair()
    prepareHandler(other)
    const result = await one.request(other.address(), { kind: 'rootRequest' }, TIMEOUT_MS)
    expect(result).toMatchObject({ ok: false, error: { kind: 'unhandled' } })
  })

  it('times out when no reply comes', async () => {
    const { one, other } = await createPair()
    other.handle('rootRequest', () => new Promise(() => {}))
    const result = await one.request(other.address(), { kind: 'rootRequest' }, SHORT_TIMEOUT_MS)
    expect(result).toEqual({ ok: false, error: { kind: 'timeout' } })
  })

  it('reports a closed peer as unreachable', async () => {
    const { one, other } = await createPair()
    const address = other.address()
    await other.close()
    const result = await one.request(address, { kind: 'rootRequest' }, TIMEOUT_MS)
    expect(result).toMatchObject({ ok: false, error: { kind: 'unreachable' } })
  })

  it('counts the sent bytes per message kind', async () => {
    const { one, other } = await createPair()
    other.handle('directoryLookup', () => ({ kind: 'directoryEntry' }))
    await one.request(other.address(), { kind: 'directoryLookup', chatKey: 'chat-1' }, TIMEOUT_MS)
    expect(one.bytesSent().get('directoryLookup')).toBeGreaterThan(0)
    expect(other.bytesSent().get('directoryLookupReply')).toBeGreaterThan(0)
  })
})
