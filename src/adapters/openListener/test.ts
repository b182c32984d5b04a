import { createServer, type AddressInfo, type Server } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { openListener } from './index.js'

const HOST = '127.0.0.1'

const open: (() => void)[] = []

afterEach(() => { for (const close of open.splice(0)) close() })

const startServer = async (): Promise<Server> => {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
  open.push(() => server.close())
  return server
}

const openAt = (port: number, host = HOST) => {
  const messages: string[] = []
  const log = (message: string): void => { messages.push(message) }
  const server = createServer()
  const listener = openListener({ server, address: { host, port }, part: 'test', logger: { warn: log, info: log }, retryMs: 1 })
  open.push(listener.close)
  return { server, listener, messages }
}

describe('openListener', () => {
  test('opens a free port without a log line', async () => {
    const { listener, messages } = openAt(0)
    expect((await listener.tried).port).toBeGreaterThan(0)
    expect(messages).toEqual([])
  })

  test('tells once that its port is held, and opens it once it is free', async () => {
    const holder = await startServer()
    const { port } = holder.address() as AddressInfo
    const { listener, messages } = openAt(port)
    expect(await listener.tried).toEqual({ host: HOST, port })
    expect(listener.isOpen()).toBe(false)
    holder.close()
    expect(await listener.opened).toEqual({ host: HOST, port })
    expect(messages).toEqual(['listener waits for its port', 'listener got its port'])
  })

  // 192.0.2.0/24 is reserved for documentation.
  test('waits for an address that the machine does not have', async () => {
    const { listener, messages } = openAt(0, '192.0.2.1')
    await listener.tried
    expect(messages).toEqual(['listener waits for its port'])
  })

  test('does not open a port that is free after it was closed', async () => {
    const holder = await startServer()
    const { listener, server } = openAt((holder.address() as AddressInfo).port)
    await listener.tried
    listener.close()
    await new Promise((resolve) => { holder.close(resolve) })
    await new Promise((resolve) => { setTimeout(resolve, 10) })
    expect(server.listening).toBe(false)
  })

  // A server without a listener for its errors ends the process when no file descriptor is left for a connection.
  test('survives an error of an open server', async () => {
    const { listener, server, messages } = openAt(0)
    await listener.opened
    server.emit('error', new Error('accept EMFILE'))
    expect(messages).toEqual(['listener failed'])
  })
})
