import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { createServerLink, type ServerLink } from './createServerLink.js'

const closing: (() => Promise<void> | void)[] = []

afterEach(async () => { for (const close of closing.splice(0).reverse()) await close() })

/** Starts a server that echoes, and a link to it. */
const startLink = async (): Promise<ServerLink> => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.pipe(socket)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const link = await createServerLink((server.address() as AddressInfo).port)
  closing.push(() => { server.close() }, link.close)
  return link
}

/** How long a connection that should hang is watched; whatever else is expected is awaited without a limit. */
const WATCH_MS = 150

const HANGING = 'hanging'

const unlessHanging = (expected: string, act: (resolve: (outcome: string) => void) => void): Promise<string> => new Promise((resolve) => {
  act(resolve)
  if (expected === HANGING) setTimeout(() => resolve(HANGING), WATCH_MS)
})

/** Opens a connection; the outcome is `open`, an error code, or `hanging` where that is expected. */
const open = async (link: ServerLink, expected = 'open'): Promise<{ readonly outcome: string, readonly socket: Socket }> => {
  const socket = connect(link.port, '127.0.0.1')
  closing.push(() => { socket.destroy() })
  const outcome = await unlessHanging(expected, (resolve) => {
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? 'error'))
    socket.on('connect', () => resolve('open'))
  })
  return { outcome, socket }
}

/** Sends a byte and resolves with what the connection does next. */
const ping = (socket: Socket, expected = 'echo'): Promise<string> => unlessHanging(expected, (resolve) => {
  socket.once('data', () => resolve('echo'))
  socket.once('close', () => resolve('closed'))
  socket.write('x')
})

describe('a link to a server', () => {
  test.each([
    ['hang', HANGING, HANGING],
    ['reset', 'closed', HANGING],
    ['refuseNew', 'echo', 'ECONNREFUSED'],
    ['oneWay', HANGING, HANGING]
  ] as const)('cut by %s: an open connection is %s, a new one %s', async (how, openOne, newOne) => {
    const link = await startLink()
    const { socket } = await open(link)
    expect(await ping(socket)).toBe('echo')
    await link.cut(how)
    expect([await ping(socket, openOne), (await open(link, newOne)).outcome]).toEqual([openOne, newOne])
    await link.heal()
    const healed = await open(link)
    expect([healed.outcome, await ping(healed.socket)]).toEqual(['open', 'echo'])
  })
})
