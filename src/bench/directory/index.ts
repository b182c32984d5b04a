/** Measures memory and processor time of one node's share of the chat directory, by number of entries. */
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../emulator/createMemoryPeerNetwork/index.js'
import { createChatDirectory } from '../../services/chatDirectory/index.js'
import type { ChatDirectory, Member } from '../../types/index.js'
import type { BenchOptions, Cell, Table } from '../types.js'

const SIZES = [10_000, 42_000, 200_000]
const SERVERS = 600
const BYTES_PER_MEGABYTE = 1e6
const LOOK_UPS = 100_000

const self: Member = { nodeId: 'router-1', incarnation: 1, address: { host: 'router-1', port: 1 }, availabilityZone: 'a', state: 'live', generation: 1 }

const createDirectory = (directoryEntries: number): ChatDirectory => {
  const clock = createManualClock()
  const transport = createMemoryPeerNetwork({ clock }).createTransport(self.address)
  const membership = { self: () => self, liveMembers: () => [self] }
  return createChatDirectory({ clock, transport, membership }, { settings: { directoryEntries, directoryTtlMs: 7_200_000, peerTimeoutMs: 250 } }).api
}

/** Bytes of heap and buffers in use; exact only when Node.js runs with --expose-gc. */
const readMemory = (): number => {
  globalThis.gc?.()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

const measureSize = async (entries: number, seed: number): Promise<readonly Cell[]> => {
  const random = createSeededRandom(seed)
  const before = readMemory()
  const directory = createDirectory(entries)
  for (let index = 0; index < entries; index++) directory.store(`account-${index % 17_000}/chat-${index}`, `engine-${Math.floor(random.next() * SERVERS)}`)
  const bytes = readMemory() - before
  const startedAt = process.cpuUsage()
  for (let index = 0; index < LOOK_UPS; index++) await directory.lookUp(`account-${index % 17_000}/chat-${index % entries}`)
  const { user, system } = process.cpuUsage(startedAt)
  return [entries, (bytes / BYTES_PER_MEGABYTE).toFixed(1), Math.round(bytes / entries), ((user + system) / LOOK_UPS).toFixed(2)]
}

/**
 * Runs the benchmark for directories of three sizes; 42,000 entries are one
 * node's share of 15 million chats over 360 nodes.
 *
 * @param options - `seed` makes the run reproducible.
 * @returns One table, a row per size.
 */
export const runDirectoryBench = async ({ seed }: BenchOptions): Promise<readonly Table[]> => {
  const rows: (readonly Cell[])[] = []
  for (const entries of SIZES) rows.push(await measureSize(entries, seed))
  return [{ title: 'Chat directory of one node', columns: ['entries', 'MB', 'bytes an entry', 'CPU µs a look-up'], rows }]
}
