import { describe, expect, test } from 'vitest'
import { createPromptDirectory, defaultPromptDirectoryOptions } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../emulator/createMemoryPeerNetwork/index.js'
import type { Member } from '../../types/index.js'

const PARTS = [{ id: 'shop', tokens: 800 }, { id: 'subject', tokens: 400 }, { id: 'own', tokens: 200 }]
const SERVER = 'engine-1@1'
/** Two periods: one to the forwarder and one from it to its zone. */
const ANNOUNCED_MS = 600

const createMember = (index: number, zones: number): Member =>
  ({ nodeId: `node-${String(index).padStart(2, '0')}`, incarnation: 1, address: { host: `node-${index}`, port: 1 }, availabilityZone: `zone-${index % zones}`, state: 'live', generation: 1 })

const createFleet = (size: number, zones = 2) => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock })
  const members = Array.from({ length: size }, (_, index) => createMember(index, zones))
  const nodes = members.map((self) => {
    const transport = network.createTransport(self.address)
    const { api, start } = createPromptDirectory({ clock, transport, membership: { self: () => self, liveMembers: () => members } }, defaultPromptDirectoryOptions)
    start?.()
    return { api, transport }
  })
  const readCachedTokens = (): readonly number[] => nodes.map(({ api }) => api.listCachedTokens(PARTS).get(SERVER) ?? 0)
  const countMessages = (): number => nodes.reduce((sum, { transport }) => sum + transport.messagesSent(), 0)
  return { clock, nodes, readCachedTokens, countMessages }
}

describe.each([['few', 5], ['many', 40]])('in a fleet of %s nodes', (_name, size) => {
  test('all nodes learn the locations of the shared parts, and only of these', async () => {
    const { clock, nodes, readCachedTokens } = createFleet(size)
    nodes[3]!.api.record(PARTS, SERVER)
    await clock.advanceAndSettle(ANNOUNCED_MS)
    expect(readCachedTokens()).toEqual(nodes.map((_, index) => index === 3 ? 1400 : 1200))
  })

  test('a location in steady use stays known', async () => {
    const { clock, nodes, readCachedTokens } = createFleet(size)
    for (let second = 0; second < 120; second++) {
      nodes[0]!.api.record(PARTS, SERVER)
      await clock.advanceAndSettle(1_000)
    }
    expect(Math.min(...readCachedTokens())).toBe(1200)
  })

  test('a location that is no longer used expires', async () => {
    const { clock, nodes, readCachedTokens } = createFleet(size)
    nodes[0]!.api.record(PARTS, SERVER)
    await clock.advanceAndSettle(61_000)
    expect(new Set(readCachedTokens())).toEqual(new Set([0]))
  })

  // Announcements with each request would grow with the square of the number of nodes.
  test('a location that all nodes know is not announced with each request', async () => {
    const { clock, nodes, countMessages } = createFleet(size)
    nodes[0]!.api.record(PARTS, SERVER)
    await clock.advanceAndSettle(ANNOUNCED_MS)
    const before = countMessages()
    for (let round = 0; round < 10; round++) {
      for (const { api } of nodes) api.record(PARTS, SERVER)
      await clock.advanceAndSettle(1_000)
    }
    expect(countMessages()).toBe(before)
  })
})

test('in a large fleet one location is sent to a forwarder in each zone and from there to the nodes of the zone', async () => {
  const { clock, nodes, countMessages } = createFleet(40, 4)
  nodes[39]!.api.record(PARTS, SERVER)
  await clock.advanceAndSettle(ANNOUNCED_MS)
  expect(countMessages()).toBe(4 + 4 * 9)
})

describe('a read in progress', () => {
  const readOn = (fleet: ReturnType<typeof createFleet>, index: number) => ({
    cached: fleet.nodes[index]!.api.listCachedTokens(PARTS).get(SERVER) ?? 0,
    copyable: fleet.nodes[index]!.api.listCopyableTokens(PARTS).get(SERVER) ?? 0
  })

  // Guards against copies from a server that is still reading: they bring nothing, and the prompt is read again.
  test.each([5, 40])('is known to all of %i nodes, and can be copied once it is complete', async (size) => {
    const fleet = createFleet(size)
    const read = fleet.nodes[0]!.api.beginRead(PARTS, SERVER)
    await fleet.clock.advanceAndSettle(ANNOUNCED_MS)
    expect(fleet.nodes.map((_, index) => readOn(fleet, index)).slice(1)).toEqual(fleet.nodes.slice(1).map(() => ({ cached: 1200, copyable: 0 })))
    read.complete()
    await fleet.clock.advanceAndSettle(ANNOUNCED_MS)
    expect(fleet.nodes.map((_, index) => readOn(fleet, index)).slice(1)).toEqual(fleet.nodes.slice(1).map(() => ({ cached: 1200, copyable: 1200 })))
  })

  // Guards against requests that wait at a server for a prompt that it never got, because no connection could be opened.
  test('is forgotten when it is abandoned', () => {
    const fleet = createFleet(5)
    fleet.nodes[0]!.api.beginRead(PARTS, SERVER).abandon()
    expect(readOn(fleet, 0)).toEqual({ cached: 0, copyable: 0 })
  })

  test('keeps what the server cached before when it is abandoned', () => {
    const fleet = createFleet(5)
    fleet.nodes[0]!.api.beginRead(PARTS.slice(0, 1), SERVER).complete()
    fleet.nodes[0]!.api.beginRead(PARTS, SERVER).abandon()
    expect(readOn(fleet, 0)).toEqual({ cached: 800, copyable: 800 })
  })

  // Guards against a node, or a server, that dies during the read.
  test('expires on peers when nothing more is heard of it', async () => {
    const fleet = createFleet(5)
    fleet.nodes[0]!.api.beginRead(PARTS, SERVER)
    await fleet.clock.advanceAndSettle(4_000)
    expect(readOn(fleet, 1)).toEqual({ cached: 0, copyable: 0 })
  })
})
