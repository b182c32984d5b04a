/** Tests that servers whose entries are gone are removed, and new ones get requests, while software versions can't be registered. */
import { afterEach, expect, test } from 'vitest'
import { PLAIN } from '../../platform/standIn/createPlatform/index.js'
import { startStoreFleet, type StoreFleet } from './_lib/startStoreFleet.js'
import { waitFor } from '../_lib/waitFor.js'

const NODES = ['node-1', 'node-2']

const closing: (() => Promise<void>)[] = []

afterEach(async () => { for (const close of closing.splice(0).reverse()) await close() })

const start = async (): Promise<StoreFleet> => {
  const fleet = await startStoreFleet(['plain-1', 'plain-2', 'plain-3'])
  closing.push(fleet.close)
  for (const name of NODES) await fleet.start(name)
  await waitFor('both nodes to know each other and all servers', () => NODES.every((name) => findLine(fleet, name, 'member changed') >= 0 && ['plain-1', 'plain-2', 'plain-3'].every((id) => findLine(fleet, name, 'backend server added', id) >= 0)))
  return fleet
}

/** Position of the first line of this message about the server in the log of a node; -1 without one. */
const findLine = (fleet: StoreFleet, node: string, message: string, server?: string): number =>
  fleet.find(node)!.process.lines.findIndex((line) => line['message'] === message && (server === undefined || line['backendServer'] === server))

/** A call that is not answered is given up, which is logged: what stands before that line has not waited for the call. */
const waitUntilGivenUp = (fleet: StoreFleet): Promise<unknown> =>
  waitFor('a registration to be given up', () => NODES.some((name) => findLine(fleet, name, 'software versions not registered') >= 0))

const listLate = (fleet: StoreFleet, message: string, server: string): readonly string[] => NODES.filter((name) => {
  const [position, givenUpAt] = [findLine(fleet, name, message, server), findLine(fleet, name, 'software versions not registered')]
  return position < 0 || (givenUpAt >= 0 && givenUpAt < position)
})

// A removal waited in the reading of the list until the version of another server was registered: late orders reached a server that was gone.
test.each(['the whole list is read', 'a watch reports the changes'])('a server is removed before the version of a new one is registered, when %s', async (way) => {
  const fleet = await start()
  fleet.platform.store.setCallFault(({ kind }) => kind === 'stream-versions' ? 'silent' : 'none')
  await fleet.platform.addBackend(PLAIN, { id: 'new-1', workMs: 50 }, { version: 'v2' })
  fleet.platform.store.remove('servers', 'plain-1')
  if (way === 'the whole list is read') fleet.platform.store.forgetHistory()
  await waitUntilGivenUp(fleet)
  expect([listLate(fleet, 'backend server removed', 'plain-1'), listLate(fleet, 'backend server added', 'new-1')]).toEqual([[], []])
  for (const name of NODES) fleet.callNode(name, 2)
  await waitFor('an order to reach the new server', () => fleet.platform.backends.get('new-1')!.records().length > 0)
  await fleet.stopCalling()
  expect(fleet.orders.filter(({ status }) => status !== 200)).toEqual([])
})

// Its server left the list until the new version was registered, though orders need no register.
test('a server that starts again under its id with another version gets orders at once', async () => {
  const fleet = await start()
  fleet.platform.store.setCallFault(({ kind }) => kind === 'stream-versions' ? 'silent' : 'none')
  fleet.platform.register(fleet.platform.backends.get('plain-1')!, PLAIN, { version: 'v2', born: 2, seq_no: 2 })
  await waitUntilGivenUp(fleet)
  expect(NODES.filter((name) => findLine(fleet, name, 'backend server removed', 'plain-1') >= 0)).toEqual([])
})
