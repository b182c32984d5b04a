import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createFaultProxy } from './createFaultProxy.js'
import type { FaultProxy, LinkFault } from './createFaultProxy.js'
import { waitFor } from './waitFor.js'

const BODY = 'a'.repeat(10_000)

const startEcho = async () => {
  const received: string[] = []
  const server = createServer((request, response) => {
    received.push(request.url ?? '')
    response.end(BODY)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const close = async (): Promise<void> => {
    server.closeAllConnections()
    await new Promise((resolve) => { server.close(resolve) })
  }
  return { port: (server.address() as AddressInfo).port, received, close }
}

describe('createFaultProxy', () => {
  let echo: Awaited<ReturnType<typeof startEcho>>
  let proxy: FaultProxy
  beforeEach(async () => {
    echo = await startEcho()
    proxy = await createFaultProxy(echo.port)
  })
  afterEach(async () => {
    await proxy.close()
    await echo.close()
  })

  const readBody = async (): Promise<string> => await (await fetch(proxy.url)).text()

  it.each<[name: string, fault: LinkFault]>([['without a fault', { kind: 'none' }], ['with a delay', { kind: 'delay', ms: 5 }]])('forwards an answer %s', async (_name, fault) => {
    proxy.setFault(fault)
    expect(await readBody()).toBe(BODY)
  })

  it.each<[name: string, fault: LinkFault, arrivals: number]>([
    ['refuses connections', { kind: 'refuse' }, 0],
    ['resets the connection in the middle of a request', { kind: 'cutAfter', direction: 'toServer', bytes: 10 }, 0],
    ['resets the connection in the middle of an answer', { kind: 'cutAfter', direction: 'toClient', bytes: 500 }, 1]
  ])('%s', async (_name, fault, arrivals) => {
    proxy.setFault(fault)
    await expect(readBody()).rejects.toThrow()
    expect(echo.received.length).toBe(arrivals)
  })

  it.each<[name: string, fault: LinkFault, arrivals: number]>([
    ['holds back data in both directions', { kind: 'blackhole' }, 0],
    ['holds back only data to the client', { kind: 'holdDirection', direction: 'toClient' }, 1]
  ])('%s until the link heals', async (_name, fault, arrivals) => {
    proxy.setFault(fault)
    const body = readBody()
    await waitFor('the request to reach the proxy', () => proxy.connections() > 0 && echo.received.length === arrivals)
    expect(await Promise.race([body, Promise.resolve('held')])).toBe('held')
    proxy.setFault({ kind: 'none' })
    expect(await body).toBe(BODY)
    expect(echo.received.length).toBe(1)
  })
})
