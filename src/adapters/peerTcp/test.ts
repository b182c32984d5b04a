import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { Encoder } from 'cbor-x'
import { afterEach, describe, expect, it } from 'vitest'
import { createPeerTcp, type PeerTcp } from './index.js'
import { prependLength } from './_lib/createFrameReader.js'
import { createSystemClock } from '../systemClock/index.js'
import type { Logger, PeerAddress } from '../../types/index.js'
import { createSystemRandom } from '../systemRandom/index.js'

const clock = createSystemClock()
const random = createSystemRandom()
const TIMEOUT_MS = 20_000
const MAXIMUM_FRAME_BYTES = 4096
const MAXIMUM_ATTEMPTS = 30

const opened: { readonly close: () => Promise<void> }[] = []
const sockets: Socket[] = []

const openTransport = async (options: { readonly fleetKey?: string, readonly port?: number, readonly handshakeTimeoutMs?: number, readonly stallTimeoutMs?: number, readonly acknowledgeDelayMs?: number, readonly onHandlerError?: () => void, readonly logger?: Logger } = {}) => {
  const transport = createPeerTcp({ host: '127.0.0.1', port: 0, fleetKey: 'the right key', maximumFrameBytes: MAXIMUM_FRAME_BYTES, initialBackoffMs: 1, maximumBackoffMs: 1, clock, random, ...options })
  transport.handle('directoryLookup', ({ chatKey }) => ({ kind: 'directoryEntry', backendServer: chatKey }))
  await transport.listen()
  opened.push(transport)
  return transport
}

const openSocket = (port: number): Socket => {
  const socket = connect(port, '127.0.0.1')
  // A socket that nobody reads never reports its close.
  socket.resume()
  socket.on('error', () => {})
  sockets.push(socket)
  return socket
}

const waitForClose = (socket: Socket): Promise<void> => new Promise((resolve) => { socket.once('close', () => resolve()) })

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy()
  for (const transport of opened.splice(0)) await transport.close()
})

const lookup = { kind: 'directoryLookup', chatKey: 'chat-1' } as const

describe('createPeerTcp', () => {
  it('refuses a peer with another fleet key', async () => {
    const listener = await openTransport()
    const stranger = await openTransport({ fleetKey: 'a wrong key' })
    const result = await stranger.request(listener.address(), lookup, TIMEOUT_MS)
    expect(result).toMatchObject({ ok: false, error: { kind: 'unreachable' } })
  })

  // A handler that chokes on the message of another build told its sender, and nobody else.
  it('reports a handler that throws, and answers further messages', async () => {
    const reasons: unknown[] = []
    const logger: Logger = { error: (message, fields) => { reasons.push([message, fields?.kind, fields?.reason]) }, warn: () => {}, info: () => {}, debug: () => {} }
    let errors = 0
    const listener = await openTransport({ logger, onHandlerError: () => { errors += 1 } })
    listener.handle('rootRequest', () => { throw new TypeError('no list') })
    const peer = await openTransport()
    expect((await peer.request(listener.address(), { kind: 'rootRequest' }, TIMEOUT_MS)).ok).toBe(false)
    expect((await peer.request(listener.address(), lookup, TIMEOUT_MS)).ok).toBe(true)
    expect([reasons, errors]).toEqual([[['message of a peer failed', 'rootRequest', 'no list']], 1])
  })

  // What can't be encoded threw outside of any handler, which ends a process.
  it('goes on after a message and a reply that are nested too deeply to be sent', async () => {
    const ends: unknown[] = []
    const recordEnd = (error: unknown): void => { ends.push(error) }
    process.on('unhandledRejection', recordEnd)
    const listener = await openTransport()
    const deep = JSON.parse('['.repeat(100_000) + ']'.repeat(100_000)) as string
    listener.handle('rootRequest', () => ({ kind: 'directoryEntry', backendServer: deep }))
    const peer = await openTransport()
    expect((await peer.request(listener.address(), { kind: 'rootRequest' }, TIMEOUT_MS)).ok).toBe(false)
    expect((await peer.request(listener.address(), { ...lookup, chatKey: deep }, TIMEOUT_MS)).ok).toBe(false)
    expect((await peer.request(listener.address(), lookup, TIMEOUT_MS)).ok).toBe(true)
    process.off('unhandledRejection', recordEnd)
    expect(ends).toEqual([])
  })

  // Guards against a reflection attack, in which a peer without the key sends the router's own frames back.
  it('rejects a reflected proof', async () => {
    const listener = await openTransport()
    const socket = openSocket(listener.address().port)
    const closed = waitForClose(socket)
    socket.once('data', (frame) => socket.write(frame))
    await closed
    expect(socket.destroyed).toBe(true)
  })

  it.each([
    { case: 'a frame that is longer than a handshake may be', bytes: Buffer.from([0, 0, 2, 1]) },
    { case: 'a frame that is not CBOR', bytes: prependLength(Buffer.from([0xff, 0xff])) },
    { case: 'a proof of the wrong shape', bytes: prependLength(new Encoder().encode({ nonce: 'text', proof: 7 })) },
    { case: 'an empty frame', bytes: prependLength(Buffer.alloc(0)) }
  ])('closes a connection on $case, and keeps serving others', async ({ bytes }) => {
    const listener = await openTransport()
    const peer = await openTransport()
    const socket = openSocket(listener.address().port)
    const closed = waitForClose(socket)
    socket.write(bytes)
    await closed
    const result = await peer.request(listener.address(), lookup, TIMEOUT_MS)
    expect(result.ok).toBe(true)
  })

  it('closes a connection that never proves the key', async () => {
    const listener = await openTransport({ handshakeTimeoutMs: 20 })
    const socket = openSocket(listener.address().port)
    await waitForClose(socket)
    expect(socket.destroyed).toBe(true)
  })

  // Guards against unreadable messages after one that was too large: its field names are known to the encoder, but were never sent.
  it('delivers further messages after one that is too large', async () => {
    const listener = await openTransport()
    const peer = await openTransport()
    await peer.request(listener.address(), lookup, TIMEOUT_MS)
    const refused = await peer.request(listener.address(), { kind: 'directoryStore', chatKey: 'x'.repeat(2 * MAXIMUM_FRAME_BYTES), backendServer: '' }, TIMEOUT_MS)
    expect(refused.ok).toBe(false)
    const result = await peer.request(listener.address(), lookup, TIMEOUT_MS)
    expect(result).toEqual({ ok: true, value: { kind: 'directoryEntry', backendServer: 'chat-1' } })
  })

  // Guards against a router that is restarted at the same address and stays unreachable because of the old connection.
  it('reconnects to a restarted peer', async () => {
    const peer = await openTransport()
    const first = await openTransport()
    const { port } = first.address()
    await peer.request(first.address(), lookup, TIMEOUT_MS)
    await first.close()
    const second = await openTransport({ port })
    let result = await peer.request(second.address(), lookup, TIMEOUT_MS)
    while (!result.ok) {
      await new Promise((resolve) => { setTimeout(resolve, 5) })
      result = await peer.request(second.address(), lookup, TIMEOUT_MS)
    }
    expect(result.ok).toBe(true)
  })

  /** Opens a path to the listener, on which connections that send while `isDropping` are silent from then on. */
  const openPath = async (listener: PeerTcp) => {
    const path = { isDropping: false, connections: 0 }
    const link = createServer((near) => {
      path.connections += 1
      const far = openSocket(listener.address().port)
      let hasDropped = false
      const pass = (to: Socket) => (chunk: Buffer): void => {
        hasDropped ||= path.isDropping
        if (!hasDropped) to.write(chunk)
      }
      near.on('data', pass(far)).on('error', () => {})
      far.on('data', pass(near))
      sockets.push(near)
    })
    await new Promise<void>((resolve) => { link.listen(0, '127.0.0.1', resolve) })
    opened.push({ close: () => new Promise((resolve) => { link.close(() => resolve()) }) })
    return { path, address: { host: '127.0.0.1', port: (link.address() as AddressInfo).port }, refuse: () => { link.close() } }
  }

  const isServedSoon = async (peer: PeerTcp, address: PeerAddress): Promise<boolean> => {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) if ((await peer.request(address, lookup, 100)).ok) return true
    return false
  }

  // Guards against losing a peer for minutes after the network has dropped packets.
  it('closes a connection that drops all data, and opens a new one', async () => {
    const { path, address } = await openPath(await openTransport({ acknowledgeDelayMs: 1 }))
    const peer = await openTransport({ stallTimeoutMs: 30 })
    await peer.request(address, lookup, TIMEOUT_MS)
    path.isDropping = true
    await peer.request(address, lookup, 100)
    path.isDropping = false
    expect(await isServedSoon(peer, address)).toBe(true)
  })

  // Guards against a peer that is out of reach for seconds because one connection went silent, while new ones work.
  it('replaces a connection that went silent before it counts as lost', async () => {
    const { path, address } = await openPath(await openTransport({ acknowledgeDelayMs: 1 }))
    const peer = await openTransport({ stallTimeoutMs: 60_000, acknowledgeDelayMs: 1 })
    await peer.request(address, lookup, TIMEOUT_MS)
    path.isDropping = true
    await peer.request(address, lookup, 100)
    path.isDropping = false
    expect(await isServedSoon(peer, address)).toBe(true)
    expect(path.connections).toBe(2)
  })

  // Guards against giving up a connection that works for one that does not.
  it('keeps a connection whose peer is slow where no second one opens', async () => {
    const listener = await openTransport({ acknowledgeDelayMs: 60_000 })
    listener.handle('rootRequest', async () => {
      await new Promise((resolve) => { setTimeout(resolve, 1_200) })
      return { kind: 'root' }
    })
    const { path, address, refuse } = await openPath(listener)
    const peer = await openTransport({ stallTimeoutMs: 60_000, acknowledgeDelayMs: 1 })
    await peer.request(address, lookup, TIMEOUT_MS)
    refuse()
    const slow = peer.request(address, { kind: 'rootRequest' }, TIMEOUT_MS)
    await new Promise((resolve) => { setTimeout(resolve, 700) })
    peer.send(address, lookup)
    expect([(await slow).ok, (await peer.request(address, lookup, TIMEOUT_MS)).ok, path.connections]).toEqual([true, true, 1])
  })

  it('fails open requests when the connection is lost', async () => {
    const listener = await openTransport()
    listener.handle('rootRequest', () => new Promise(() => {}))
    const peer = await openTransport()
    await peer.request(listener.address(), lookup, TIMEOUT_MS)
    const open = peer.request(listener.address(), { kind: 'rootRequest' }, TIMEOUT_MS)
    await listener.close()
    expect(await open).toMatchObject({ ok: false, error: { kind: 'unreachable' } })
  })
})
