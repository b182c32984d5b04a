/** Tests signals that a gateway process gets more than once, or before its program runs. */
import { createServer, type AddressInfo } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { createPlatform, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess, type GatewayProcessOptions } from '../../platform/standIn/startGatewayProcess/index.js'
import { waitFor } from '../_lib/waitFor.js'
import { pause } from './_lib/callFleet.js'
import { openConnection, type RequestOutcome } from './_lib/openConnection.js'

const STREAMS = 6

const open: { readonly close: () => Promise<void> }[] = []

const closeAfterTest = <Part extends { readonly close: () => Promise<void> }>(part: Part): Part => {
  open.push(part)
  return part
}

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

const startPlatform = async (): Promise<PlatformStandIn> =>
  closeAfterTest(await createPlatform({ engines: ['engine-1', 'engine-2'].map((id) => ({ id, workMs: 70, events: 20 })) }))

const startNode = async (platform: PlatformStandIn, options: Partial<GatewayProcessOptions> = {}): Promise<GatewayProcess> =>
  closeAfterTest(await startGatewayProcess({ name: 'node-1', store: platform.store.address(), ...options }))

const waitUntilReady = async ({ readinessAddress: { host, port } }: GatewayProcess): Promise<void> => {
  await waitFor('the gateway to be ready', async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
}

/** A port that nothing listens on, for callers that connect before a process can tell its own. */
const findFreePort = async (): Promise<number> => {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

/** Sends an order on the first connection that the process accepts. */
const sendFirstOrder = async (port: number, onConnected: () => void): Promise<RequestOutcome> => {
  for (;;) {
    const connection = openConnection({ host: '127.0.0.1', port })
    const isConnected = await connection.connected
    if (isConnected) {
      onConnected()
      return await connection.sendOrder()
    }
    await pause(1)
  }
}

describe('a gateway process', () => {
  // Guards against a second SIGTERM that ends the process with all its requests.
  test('completes the streams in flight when SIGTERM is repeated', async () => {
    const platform = await startPlatform()
    const node = await startNode(platform)
    await waitUntilReady(node)
    const calls = Array.from({ length: STREAMS }, () => callGateway(node.callerAddress, { path: '/chat/1', body: 'x', headers: promptHeaders() }))
    await waitFor('the streams to run', () => [...platform.backends.values()].flatMap((backend) => backend.records()).length === STREAMS)
    node.signal('SIGTERM')
    await waitFor('the stop to begin', () => node.lines.some(({ message }) => message === 'gateway stopping'))
    node.signal('SIGTERM')
    expect((await Promise.all(calls)).filter(({ status, isComplete }) => status !== 200 || !isComplete)).toEqual([])
    expect(await node.ended).toBe(0)
    expect(node.lines.filter(({ message }) => message === 'signal repeated')).toHaveLength(1)
    expect(node.lines.filter(({ message }) => message === 'gateway stopping')).toHaveLength(1)
  })

  // Guards against a process that ends without an answer to callers that it accepted before its program was loaded.
  test('answers callers and stops in order when SIGTERM arrives before its program is loaded', async () => {
    const port = await findFreePort()
    let order: Promise<RequestOutcome> | undefined
    const node = await startNode(await startPlatform(), {
      fields: { 'listen.front': `127.0.0.1:${port}` },
      onSpawned: ({ signal }) => { order = sendFirstOrder(port, () => signal('SIGTERM')) }
    })
    expect(await order).toMatchObject({ kind: 'answered' })
    expect(await node.ended).toBe(0)
    expect(node.lines.at(-2)).toMatchObject({ message: 'gateway stopped', open: 0 })
  })

  // Guards against a reload that ends a process which has just begun.
  test('starts and reads its settings again when SIGHUP arrives before its program is loaded', async () => {
    const port = await findFreePort()
    let order: Promise<RequestOutcome> | undefined
    const node = await startNode(await startPlatform(), {
      fields: { 'listen.front': `127.0.0.1:${port}` },
      onSpawned: ({ signal }) => { order = sendFirstOrder(port, () => signal('SIGHUP')) }
    })
    expect(await order).toMatchObject({ kind: 'answered' })
    await waitUntilReady(node)
    expect(await callGateway(node.callerAddress, { path: '/lookup/1' })).toMatchObject({ status: 200 })
  })
})
