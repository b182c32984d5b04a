import { afterEach, describe, expect, it } from 'vitest'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import { createPlainServiceServer, lookUpStock, type PlainServiceServer, type PlainServiceServerOptions } from './index.js'

const closers: (() => Promise<void>)[] = []

afterEach(async () => {
  for (const close of closers.splice(0)) await close()
})

const startServer = async (options: Partial<PlainServiceServerOptions> = {}): Promise<PlainServiceServer> => {
  const server = await createPlainServiceServer({ clock: createSystemClock(), delayMs: 1, ...options })
  closers.push(server.close)
  return server
}

const placeOrder = (server: PlainServiceServer, requestId = 'r1'): Promise<Response> =>
  fetch(`${server.url}/orders/new`, { method: 'POST', headers: { 'x-request-id': requestId, 'idempotency-key': 'k1' }, body: '{"pasta":3}' })

describe('createPlainServiceServer', () => {
  it('returns the same stock for the same path', async () => {
    const server = await startServer()
    expect(await (await fetch(`${server.url}/stock/ravioli?village=1`)).json()).toEqual(lookUpStock('/stock/ravioli?village=1'))
  })

  it('records an order and returns the body that it received', async () => {
    const server = await startServer()
    const response = await placeOrder(server)
    expect([response.status, response.headers.get('x-request-id')]).toEqual([201, 'r1'])
    expect(await response.json()).toEqual({ order: 1, requestId: 'r1', path: '/orders/new', received: '{"pasta":3}' })
    expect(server.journal.entries()).toMatchObject([{ requestId: 'r1', idempotencyKey: 'k1', path: '/orders/new', outcome: 'complete' }])
  })

  it('runs an order twice when it receives it twice', async () => {
    const server = await startServer()
    await placeOrder(server)
    await placeOrder(server, 'r2')
    expect(server.journal.entries()).toHaveLength(2)
  })

  it('refuses a request beyond its slots with x-not-run', async () => {
    const server = await startServer({ slots: 1, delayMs: 1000 })
    const first = placeOrder(server)
    await expect.poll(() => server.journal.entries().length).toBe(1)
    const second = await placeOrder(server, 'r2')
    expect([second.status, second.headers.get('x-not-run'), server.journal.entries().length]).toEqual([503, 'overloaded', 1])
    await first
  })

  it('runs an order before the fault resetAfterRead resets its connection', async () => {
    const server = await startServer()
    server.faults.apply({ fault: 'resetAfterRead', count: 1 })
    await expect(placeOrder(server)).rejects.toThrow()
    expect(server.journal.entries()).toMatchObject([{ requestId: 'r1', outcome: 'complete' }])
  })

  it.each([['cutAnswer', true], ['truncateAnswer', false]])('ends its answer early with the fault %s', async (fault, isBroken) => {
    const server = await startServer()
    server.faults.apply({ fault, count: 1, after: 1 })
    const reading = (await placeOrder(server)).text()
    if (isBroken) await expect(reading).rejects.toThrow()
    else expect((await reading).length).toBe(16)
  })
})
