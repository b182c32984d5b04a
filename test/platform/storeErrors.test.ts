/** Tests that an exception in an event of a connection to the store fails its call and nothing else. */
import { createServer, Socket, type AddressInfo } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import { createStoreClient } from '../../platform/createStoreClient/index.js'

const closing: (() => unknown)[] = []

afterEach(async () => {
  vi.restoreAllMocks()
  for (const close of closing.splice(0).reverse()) await close()
})

const startServer = async (): Promise<number> => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', () => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok') })
    closing.push(() => socket.destroy())
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  closing.push(() => server.close())
  return (server.address() as AddressInfo).port
}

/** Makes the next read of a connection to the port throw, inside of the event that tells of bytes. */
const breakNextRead = (port: number): void => {
  const { read } = Socket.prototype
  let isDue = true
  vi.spyOn(Socket.prototype, 'read').mockImplementation(function (this: Socket, size?: number) {
    if (isDue && size === undefined && this.remotePort === port && this.readableLength > 0) {
      isDue = false
      throw new Error('injected')
    }
    return read.call(this, size) as unknown
  })
}

// Guards against an uncaught exception of the library on a connection to the store, which ends every request of the process.
test('an error that is thrown in an event of a connection fails that call only', async () => {
  const port = await startServer()
  const reports: string[] = []
  const store = createStoreClient({ host: '127.0.0.1', port }, { reportError: ({ adapter }, event) => { reports.push(`${adapter} ${event}`) } })
  closing.push(store.close)
  breakNextRead(port)
  expect(await store.get('/objects/a', 1_000)).toMatchObject({ ok: false, error: { kind: 'unavailable', message: expect.stringContaining('injected') as string } })
  expect(await store.get('/objects/a', 1_000)).toMatchObject({ ok: true })
  expect(reports).toEqual(['storeClient readable'])
})
