import { connect, Socket } from 'node:net'
import { describe, expect, test } from 'vitest'
import { createPeerLink, type LinkOptions } from './createPeerLink.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'

const createLink = (changes: Partial<LinkOptions> = {}) => {
  const clock = createManualClock()
  const sockets: Socket[] = []
  const link = createPeerLink({
    address: { host: 'peer', port: 1 },
    clock,
    random: { next: () => 0.5, nextId: () => 'id' },
    fleetKey: 'key',
    maximumFrameBytes: 4096,
    maximumQueueBytes: 4096,
    maximumQueueLength: 8,
    handshakeTimeoutMs: 2_000,
    connectTimeoutMs: 300,
    idleTimeoutMs: 60_000,
    stallTimeoutMs: 3_000,
    suspectTimeoutMs: 1_100,
    initialBackoffMs: 100,
    maximumBackoffMs: 2_000,
    countBytes: () => {},
    onIdle: () => {},
    // A socket that never connects, as to a VM that is not running yet.
    openSocket: () => {
      const socket = new Socket()
      sockets.push(socket)
      return socket
    },
    ...changes
  })
  return { clock, link, sockets }
}

describe('a link to a peer whose VM is not running yet', () => {
  // Guards against reaching a peer that was dialled before its start only by the retransmission of TCP, a second later.
  test('is dialled again soon, without waiting for the retransmission', async () => {
    const { clock, link, sockets } = createLink()
    const first = link.request({ kind: 'rootRequest' }, 5_000)
    await clock.advanceAndSettle(350)
    expect(await first).toMatchObject({ ok: false, error: { kind: 'unreachable' } })
    expect(sockets[0]!.destroyed).toBe(true)
    await clock.advanceAndSettle(100)
    link.send({ kind: 'rootRequest' })
    expect(sockets).toHaveLength(2)
    link.close()
  })
})

describe('a link to an address that no socket can be opened to', () => {
  // The exception of the socket went to the timer that sent a heartbeat, and ended the process.
  test('counts as a link to a peer that can\'t be reached', async () => {
    const { clock, link, sockets } = createLink({ openSocket: () => connect({ host: '127.0.0.1', port: 82_233 }) })
    link.send({ kind: 'rootRequest' })
    expect(await link.request({ kind: 'rootRequest' }, 5_000)).toMatchObject({ ok: false, error: { kind: 'unreachable' } })
    await clock.advanceAndSettle(3_000)
    expect(await link.request({ kind: 'rootRequest' }, 5_000)).toMatchObject({ ok: false, error: { kind: 'unreachable' } })
    expect(sockets).toEqual([])
    link.close()
  })
})
