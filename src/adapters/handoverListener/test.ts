import { createServer } from 'node:http'
import { connect, createServer as createNetServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { openHandoverListener } from './index.js'
import type { PeerAddress } from '../../types/index.js'

const ANYWHERE: PeerAddress = { host: '127.0.0.1', port: 0 }

const open: (() => void)[] = []

afterEach(() => { for (const close of open.splice(0)) close() })

const dial = ({ host, port }: PeerAddress): Promise<Socket> => new Promise((resolve, reject) => {
  const socket = connect(port, host, () => resolve(socket))
  socket.on('error', reject)
  open.push(() => socket.destroy())
})

const send = (socket: Socket, path: string): Promise<string> => new Promise((resolve) => {
  socket.once('data', (bytes: Buffer) => resolve(bytes.toString('latin1').split('\r\n')[0] ?? ''))
  socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`)
})

const startServer = (paths: string[]) => {
  const server = createServer((request, response) => {
    paths.push(request.url ?? '')
    response.end('served')
  })
  open.push(() => {
    server.close()
    server.closeAllConnections()
  })
  return server
}

const openListener = (port = 0) => openHandoverListener({ ...ANYWHERE, port }, { part: 'callers', retryMs: 1 })

const passTurns = (): Promise<void> => new Promise((resolve) => { setTimeout(resolve, 30) })

describe('openHandoverListener', () => {
  // Guards against refusing callers that connect before the program is loaded: they retry only a second later.
  test('keeps connections and the bytes they send until the hand-over', async () => {
    const paths: string[] = []
    const early = openListener()
    const address = await early.opened
    const answer = send(await dial(address), '/early')
    await passTurns()
    early.handOver(startServer(paths))
    expect(await answer).toBe('HTTP/1.1 200 OK')
    expect(await send(await dial(address), '/late')).toBe('HTTP/1.1 200 OK')
    expect(paths).toEqual(['/early', '/late'])
  })

  test('tolerates a connection that ends before the hand-over', async () => {
    const paths: string[] = []
    const early = openListener()
    const address = await early.opened
    const gone = await dial(address)
    gone.resetAndDestroy()
    await passTurns()
    early.handOver(startServer(paths))
    expect(await send(await dial(address), '/next')).toBe('HTTP/1.1 200 OK')
  })

  // Guards against callers that stay in the queue of a listener whose settings turned out to be unusable.
  test('closes the connections that it has accepted when it is discarded', async () => {
    const early = openListener()
    const socket = await dial(await early.opened)
    const closed = new Promise((resolve) => { socket.on('close', resolve) })
    await passTurns()
    early.discard()
    await closed
  })

  test('opens its port as soon as that is free', async () => {
    const other = createNetServer()
    await new Promise<void>((resolve) => { other.listen(0, ANYWHERE.host, resolve) })
    open.push(() => other.close())
    const { port } = other.address() as AddressInfo
    const early = openListener(port)
    expect(await early.tried).toEqual({ ...ANYWHERE, port })
    expect(early.isOpen()).toBe(false)
    other.close()
    expect(await early.opened).toEqual({ ...ANYWHERE, port })
    early.stopAccepting()
  })
})
