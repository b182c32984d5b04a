import { describe, expect, it } from 'vitest'
import { createChatDirectory } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../emulator/createMemoryPeerNetwork/index.js'
import type { Member } from '../../types/index.js'

const SETTINGS = { directoryEntries: 1000, directoryTtlMs: 60_000, peerTimeoutMs: 50 }
const CHATS = Array.from({ length: 60 }, (_, index) => `chat-${index}`)

const createMember = (nodeId: string): Member =>
  ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone: 'venkov-a', state: 'live', generation: 0 })

const createNodes = (names: readonly string[], settings = SETTINGS) => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock })
  const members = names.map(createMember)
  const nodes = members.map((self) => {
    const service = createChatDirectory({ clock, transport: network.createTransport(self.address), membership: { self: () => self, liveMembers: () => members } }, { settings })
    service.start?.()
    return service.api
  })
  const lookUpAll = async (index: number) => {
    const found = Promise.all(CHATS.map((chat) => nodes[index]!.lookUp(chat)))
    await clock.advanceAndSettle(100)
    return await found
  }
  return { clock, network, members, nodes, lookUpAll }
}

describe('createChatDirectory', () => {
  it('finds the entry of any node from every node', async () => {
    const { clock, nodes, lookUpAll } = createNodes(['a', 'b', 'c'])
    for (const chat of CHATS) nodes[0]!.store(chat, `server of ${chat}`)
    await clock.advanceAndSettle(10)
    expect(await lookUpAll(2)).toEqual(CHATS.map((chat) => `server of ${chat}`))
  })

  it('returns nothing for a chat that was never stored', async () => {
    const { lookUpAll } = createNodes(['a', 'b'])
    expect(new Set(await lookUpAll(0))).toEqual(new Set([undefined]))
  })

  // A look-up on a partitioned node would delay the request.
  it('returns nothing for entries on a partitioned node', async () => {
    const { clock, network, members, nodes, lookUpAll } = createNodes(['a', 'b', 'c'])
    for (const chat of CHATS) nodes[0]!.store(chat, 'engine-1')
    await clock.advanceAndSettle(10)
    network.cut(members[0]!.address, members[1]!.address)
    const found = await lookUpAll(0)
    expect(new Set(found)).toEqual(new Set(['engine-1', undefined]))
  })

  it('drops an entry after its time to live', async () => {
    const { clock, nodes } = createNodes(['a'])
    nodes[0]!.store('chat-1', 'engine-1')
    await clock.advanceAndSettle(SETTINGS.directoryTtlMs + 1)
    expect(await nodes[0]!.lookUp('chat-1')).toBeUndefined()
  })

  it.each([{ directoryEntries: 10 }, { directoryEntries: 0 }])('holds no more than $directoryEntries entries', async ({ directoryEntries }) => {
    const { nodes, lookUpAll } = createNodes(['a'], { ...SETTINGS, directoryEntries })
    for (const chat of CHATS) nodes[0]!.store(chat, 'engine-1')
    expect((await lookUpAll(0)).filter((found) => found !== undefined)).toHaveLength(directoryEntries)
  })
})
