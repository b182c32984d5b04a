/** The quarantine services of several nodes on a manual clock, over a memory network and a memory store. */
import { createPromptQuarantine, type PromptQuarantine } from '../../src/services/promptQuarantine/index.js'
import type { ServerEnd } from '../../src/services/serverEnds/index.js'
import { createManualClock, type ManualClock } from '../../src/emulator/createManualClock/index.js'
import { createMemoryPeerNetwork, type MemoryPeerTransport } from '../../src/emulator/createMemoryPeerNetwork/index.js'
import { failure, success } from '../../src/kernel/index.js'
import type { BackendInstance, LogFields, Member, QuarantineChange, QuarantinedPart, QuarantineStore, StoredQuarantine } from '../../src/types/index.js'

export const SERVICE = 'engines'

export type QuarantineNode = {
  readonly api: PromptQuarantine
  /** Reports that a server ended while requests of this node with these parts ran there. */
  readonly reportEnd: (server: string, parts: readonly string[]) => void
  readonly lines: readonly (LogFields & { readonly message: string })[]
}

export type QuarantineFleet = {
  readonly clock: ManualClock
  readonly nodes: readonly QuarantineNode[]
  readonly stored: () => readonly StoredQuarantine[]
  /** Removes an object as an operator does. */
  readonly removeStored: (name: string) => void
  readonly countStoreCalls: () => number
  readonly setStoreReachable: (isReachable: boolean) => void
  /** Whether the store refuses removals, while everything else works. */
  readonly setRemovalsRefused: (areRefused: boolean) => void
  /** Starts a node again, with nothing of what it knew. */
  readonly restart: (index: number) => void
  readonly cut: (one: number, other: number) => void
  readonly healAll: () => void
  /** Bytes and messages that all nodes have sent to peers. */
  readonly countTraffic: () => { readonly bytes: number, readonly messages: number }
}

export const createInstance = (id: string): BackendInstance =>
  ({ id, service: SERVICE, address: { host: id, port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0 })

const ZONES = ['a', 'b', 'c']
const STORE_DELAY_MS = 5

type MemoryStore = { readonly store: QuarantineStore, readonly list: () => readonly StoredQuarantine[], readonly remove: (name: string) => void, readonly countCalls: () => number, readonly setReachable: (isReachable: boolean) => void, readonly setRemovalsRefused: (areRefused: boolean) => void }

const createMemoryStore = (clock: ManualClock): MemoryStore => {
  const objects = new Map<string, StoredQuarantine>()
  const changes: QuarantineChange[] = []
  const waiting = new Set<() => void>()
  let revision = 0
  let isReachable = true
  let areRemovalsRefused = false
  let calls = 0

  const pause = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

  const record = (object: StoredQuarantine, isRemoved: boolean): void => {
    changes.push({ ...object, isRemoved })
    for (const wake of [...waiting]) wake()
  }

  const call = async <Value>(run: () => Value) => {
    calls += 1
    await pause(STORE_DELAY_MS)
    return isReachable ? success(run()) : failure({ kind: 'unavailable', message: 'out of reach' } as const)
  }

  const write = (name: string, part: QuarantinedPart): number => {
    revision += 1
    const object = { name, revision, part }
    objects.set(name, object)
    record(object, false)
    return revision
  }

  const remove = (name: string): void => {
    const object = objects.get(name)
    if (object === undefined) return
    objects.delete(name)
    revision += 1
    record({ ...object, revision }, true)
  }

  const waitForChange = (since: number, waitMs: number): Promise<void> => new Promise((resolve) => {
    if (revision > since) return resolve()
    const wake = (): void => {
      waiting.delete(wake)
      timer.cancel()
      resolve()
    }
    const timer = clock.setTimer(waitMs, wake)
    waiting.add(wake)
  })

  return {
    store: {
      list: () => call(() => ({ entries: [...objects.values()], revision })),
      watch: async (since, waitMs) => {
        await waitForChange(since, waitMs)
        return await call(() => ({ changes: changes.filter((change) => change.revision > since), revision }))
      },
      create: (name, part) => call(() => objects.has(name) ? { kind: 'conflict' as const } : { kind: 'written' as const, revision: write(name, part) }),
      update: (name, part, expected) => call(() => objects.get(name)?.revision === expected ? { kind: 'written' as const, revision: write(name, part) } : { kind: 'conflict' as const }),
      remove: async (name) => {
        if (areRemovalsRefused) return failure({ kind: 'unavailable', message: 'refused' })
        return await call(() => {
          remove(name)
          return undefined
        })
      }
    },
    list: () => [...objects.values()],
    remove,
    countCalls: () => calls,
    setRemovalsRefused: (next) => { areRemovalsRefused = next },
    setReachable: (next) => {
      isReachable = next
      if (!next) for (const wake of [...waiting]) wake()
    }
  }
}

/** Starts the nodes, in three zones in turn. */
export const createQuarantineFleet = (count: number, random: () => number = () => 0.5): QuarantineFleet => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock, delayMs: () => 3 })
  const memory = createMemoryStore(clock)
  const incarnations = Array.from({ length: count }, () => 1)
  const memberListeners = new Map<number, () => void>()
  const listMembers = (): readonly Member[] => incarnations.map((incarnation, index) =>
    ({ nodeId: `node-${index}`, incarnation, address: { host: `node-${index}`, port: 1 }, availabilityZone: ZONES[index % ZONES.length]!, state: 'live', generation: 1 }))
  let members = listMembers()
  const nodes: QuarantineNode[] = []
  const stops: (() => unknown)[] = []
  const transports: MemoryPeerTransport[] = []

  const startNode = (index: number): void => {
    const lines: (LogFields & { readonly message: string })[] = []
    const log = (message: string, fields: LogFields = {}): void => { lines.push({ at: clock.now(), message, ...fields }) }
    const listeners: ((end: ServerEnd) => void)[] = []
    const transport = network.createTransport(members[index]!.address)
    transports.push(transport)
    const service = createPromptQuarantine({
      clock,
      random: { next: random },
      logger: { info: log, warn: log },
      metrics: { count: () => {} },
      transport,
      membership: { members: () => members, liveMembers: () => members, self: () => members[index]!, onChange: (listener) => { memberListeners.set(index, listener) } },
      serverEnds: { onEnd: (listener) => { listeners.push(listener) } },
      store: memory.store
    })
    service.start?.()
    stops[index] = () => {
      service.stop?.()
      return transport.close()
    }
    nodes[index] = { api: service.api, lines, reportEnd: (server, parts) => { for (const listen of listeners) listen({ instance: createInstance(server), parts, requests: 1, endedAt: clock.now() }) } }
  }

  for (let index = 0; index < count; index++) startNode(index)

  return {
    clock,
    nodes,
    stored: memory.list,
    removeStored: memory.remove,
    countStoreCalls: memory.countCalls,
    setStoreReachable: memory.setReachable,
    setRemovalsRefused: memory.setRemovalsRefused,
    restart: (index) => {
      stops[index]!()
      incarnations[index]! += 1
      members = listMembers()
      startNode(index)
      for (const [other, listen] of memberListeners) if (other !== index) listen()
    },
    cut: (one, other) => network.cut(members[one]!.address, members[other]!.address),
    healAll: network.healAll,
    countTraffic: () => ({
      bytes: transports.flatMap((transport) => [...transport.bytesSent().values()]).reduce((sum, bytes) => sum + bytes, 0),
      messages: transports.reduce((sum, transport) => sum + transport.messagesSent(), 0)
    })
  }
}
