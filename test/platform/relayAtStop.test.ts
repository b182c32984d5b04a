/** Tests, with real processes, orders that a node sends through a peer while that peer stops. */
import { afterEach, expect, test } from 'vitest'
import { createPlatform } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess, type GatewayProcessOptions } from '../../platform/standIn/startGatewayProcess/index.js'
import { createServerLink } from '../_lib/createServerLink.js'
import { waitFor } from '../_lib/waitFor.js'
import { pause } from './_lib/callFleet.js'
import { openConnection, type RequestOutcome } from './_lib/openConnection.js'

const CALLERS = 6

const open: { readonly close: () => Promise<void> }[] = []

const closeAfterTest = <Part extends { readonly close: () => Promise<void> }>(part: Part): Part => {
  open.push(part)
  return part
}

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

const startNode = async (options: GatewayProcessOptions): Promise<GatewayProcess> => {
  const node = closeAfterTest(await startGatewayProcess({ ...options, fields: { fleet_key: 'fleet-key-of-the-test' } }))
  const { host, port } = node.readinessAddress
  await waitFor('the gateway to be ready', async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
  return node
}

const sendOrders = async (node: GatewayProcess, isOver: () => boolean): Promise<readonly RequestOutcome[]> => {
  const outcomes: RequestOutcome[] = []
  while (!isOver()) {
    const connection = openConnection(node.callerAddress)
    outcomes.push(await connection.sendOrder())
    connection.close()
    await pause(20)
  }
  return outcomes
}

// Guards against orders that end as failed, because a stopping peer closed the connection on which they were relayed.
test.each([['one other peer', 1], ['no other peer', 0]])('orders relayed to a peer that stops are run or refused as not run, with %s', async (_what, others) => {
  const platform = closeAfterTest(await createPlatform({ plain: ['plain-1', 'plain-2'].map((id) => ({ id, workMs: 50 })), entries: { 'plain-2': { zone: 'zone-b' } } }))
  const links = new Map<number, number>()
  for (const backend of platform.backends.values()) {
    const link = closeAfterTest(await createServerLink(backend.address().port))
    links.set(backend.address().port, link.port)
    await link.cut('refuseNew')
  }
  const cutStore = await platform.addStore(({ host, port }) => ({ host, port: links.get(port)! }))
  const stopping = await startNode({ name: 'node-2', store: platform.store.address() })
  for (let other = 0; other < others; other++) await startNode({ name: `node-${other + 3}`, store: platform.store.address(), seeds: [stopping.peerAddress] })
  const near = await startNode({ name: 'node-1', store: cutStore.address(), seeds: [stopping.peerAddress] })
  await waitFor('the node to notice that it is cut off', async () => {
    const connection = openConnection(near.callerAddress)
    const outcome = await connection.sendOrder()
    connection.close()
    return outcome.kind === 'answered' && outcome.status === 200
  })
  let isOver = false
  const callers = Array.from({ length: CALLERS }, () => sendOrders(near, () => isOver))
  await pause(500)
  stopping.signal('SIGTERM')
  await stopping.ended
  await pause(300)
  isOver = true
  const outcomes = (await Promise.all(callers)).flat()
  expect(outcomes.filter((outcome) => outcome.kind !== 'answered' || ![200, 503].includes(outcome.status))).toEqual([])
})
