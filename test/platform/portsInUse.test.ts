/** Tests a gateway process that starts while another process holds one of its ports. */
import { createServer, type AddressInfo } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { callGateway } from '../../platform/standIn/callGateway/index.js'
import { createPlatform } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { waitFor } from '../_lib/waitFor.js'

const open: { readonly close: () => Promise<void> }[] = []

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

type HeldPort = { readonly port: number, readonly release: () => Promise<void> }

const holdPort = async (): Promise<HeldPort> => {
  const server = createServer((socket) => socket.destroy())
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const release = (): Promise<void> => new Promise((resolve) => { server.close(() => resolve()) })
  open.push({ close: release })
  return { port: (server.address() as AddressInfo).port, release }
}

const startNode = async (fields: Readonly<Record<string, string>>): Promise<GatewayProcess> => {
  const platform = await createPlatform()
  open.push(platform)
  const node = await startGatewayProcess({ name: 'node-1', store: platform.store.address(), fields })
  open.push(node)
  return node
}

const readReadiness = ({ readinessAddress: { host, port } }: GatewayProcess): Promise<number | undefined> =>
  fetch(`http://${host}:${port}/readyz`).then(({ status }) => status, () => undefined)

const waitUntilReady = (node: GatewayProcess): Promise<boolean> => waitFor('the gateway to be ready', async () => await readReadiness(node) === 200)

const countWaits = (node: GatewayProcess, port: number): number => node.lines.filter((line) => line.message === 'listener waits for its port' && line.port === port).length

const waitForLine = (node: GatewayProcess, message: string): Promise<unknown> => waitFor(message, () => node.lines.some((line) => line.message === message))

// Guards against a process that ends with EADDRINUSE, again and again, until another process frees its port.
test.each([['listen.front', 503], ['listen.ready', undefined]])('waits for %s and serves once it is free', async (field, status) => {
  const held = await holdPort()
  const node = await startNode({ [field]: `127.0.0.1:${held.port}` })
  await waitForLine(node, 'listener waits for its port')
  expect(await readReadiness(node)).toBe(status)
  await held.release()
  await waitUntilReady(node)
  expect((await callGateway(node.callerAddress, { path: '/lookup/1' })).status).toBe(200)
  expect(countWaits(node, held.port)).toBe(1)
})

// Guards against callers that are refused for a port that only peers or operators need.
test.each<[string, (port: number) => Readonly<Record<string, string>>]>([
  ['peers', (port) => ({ 'listen.control': `127.0.0.1:${port}` })],
  ['peers on the first internal port', (port) => ({ 'listen.control': '', internal_ports: `${port},${port + 4}` })],
  ['relayed requests', (port) => ({ internal_ports: `${port - 1},${port + 3}` })],
  ['metrics', (port) => ({ internal_ports: `${port - 1},${port}` })]
])('serves callers while its port for %s is held', async (_, toFields) => {
  const held = await holdPort()
  const node = await startNode({ 'bounds.grace_s': '1', ...toFields(held.port) })
  await waitUntilReady(node)
  expect((await callGateway(node.callerAddress, { path: '/lookup/1' })).status).toBe(200)
  await held.release()
  node.signal('SIGTERM')
  expect(await node.ended).toBe(0)
})

test('opens its port for metrics once it is free', async () => {
  const held = await holdPort()
  await startNode({ internal_ports: `${held.port - 1},${held.port}` })
  await held.release()
  await waitFor('the metrics', () => fetch(`http://127.0.0.1:${held.port}/metrics`).then(({ ok }) => ok, () => false))
})

// Guards against a process that takes over callers' connections only after the one before has ended by itself.
test('serves after the process before it on the same port has stopped', async () => {
  const before = await startNode({ 'bounds.grace_s': '1' })
  await waitUntilReady(before)
  const node = await startNode({ 'listen.front': `127.0.0.1:${before.callerAddress.port}`, 'listen.ready': `127.0.0.1:${before.readinessAddress.port}`, 'listen.control': `127.0.0.1:${before.peerAddress.port}` })
  before.signal('SIGTERM')
  expect(await before.ended).toBe(0)
  await waitUntilReady(node)
  expect((await callGateway(node.callerAddress, { path: '/lookup/1' })).status).toBe(200)
})

// 192.0.2.0/24 is reserved for documentation, so no machine has its addresses.
test.each([['port', async () => `127.0.0.1:${(await holdPort()).port}`], ['address', async () => '192.0.2.1:0']])('ends in order on SIGTERM while it waits for its %s', async (_, findAddress) => {
  const node = await startNode({ 'listen.front': await findAddress(), 'bounds.grace_s': '1' })
  await waitForLine(node, 'listener waits for its port')
  node.signal('SIGTERM')
  expect(await node.ended).toBe(0)
})
