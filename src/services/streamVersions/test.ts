import { describe, expect, test } from 'vitest'
import { createStreamVersions, type BegunVersion, type StreamVersions } from './index.js'
import { failure } from '../../kernel/index.js'
import { createManualClock, type ManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../emulator/createMemoryPeerNetwork/index.js'
import { createVersionRegister } from '../versionRegister/index.js'
import { readSoftwareVersion } from '../../decisions/readSoftwareVersion/index.js'
import type { BackendInstance, Member } from '../../types/index.js'
import { createMemoryVersionStore } from '../../../test/_lib/createMemoryVersionStore.js'

const SERVICE = 'engines'
const ROUTE = { host: 'chat.example', pathPrefix: '/', targets: [{ service: SERVICE, weight: 1 }] }
const ZONES = ['a', 'b', 'c']
/** Longer than any stream of a node without a configuration may be taken up. */
const HORIZON_MS = 21_000
/** Longer than a version stays in the register after its last server has left. */
const ENDED_MS = 70_000

const createInstance = (id: string, softwareVersion: string, incarnation: number): BackendInstance =>
  ({ id, service: SERVICE, address: { host: id, port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation, warmUpMs: 0, softwareVersion })

type Node = { readonly api: StreamVersions, readonly setList: (list: readonly BackendInstance[]) => void, readonly stop: () => void }

const startFleet = async (nodes: number) => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock })
  const members = Array.from({ length: nodes }, (_, index): Member => ({ nodeId: `node-${index}`, incarnation: 1, address: { host: `node-${index}`, port: 1 }, availabilityZone: ZONES[index % ZONES.length]!, state: 'live', generation: 1 }))
  let servers: readonly BackendInstance[] = [createInstance('v1-1', 'v1', 0), createInstance('v1-2', 'v1', 0)]
  const stores = members.map(() => ({ isAway: false }))
  const versionStore = createMemoryVersionStore()
  let routeServices: readonly string[] = [SERVICE]
  const transports = members.map(({ address }) => network.createTransport(address))
  const startNode = (self: number): Node => {
    const listeners: (() => void)[] = []
    let list = servers
    const register = createVersionRegister({ clock, logger: { info: () => {}, warn: () => {} }, store: { ...versionStore, list: async () => stores[self]!.isAway ? failure({ kind: 'unavailable', message: 'away' }) : await versionStore.list() } }).api
    const service = createStreamVersions({
      clock,
      random: { next: () => self / members.length },
      register,
      routes: { readServices: async () => stores[self]!.isAway ? undefined : routeServices, lastRead: () => [], entering: () => undefined },
      logger: { info: () => {}, warn: () => {} },
      transport: transports[self]!,
      membership: { members: () => members, self: () => members[self]! },
      registry: { all: () => list, isKnown: () => true, onChange: (listener) => { listeners.push(listener) } },
      configuration: { current: () => undefined, onChange: () => {} }
    })
    service.start?.()
    const setList: Node['setList'] = (next) => {
      list = next
      for (const listen of listeners) listen()
    }
    setList(list)
    return { api: service.api, setList, stop: () => { service.stop?.() } }
  }
  /** As a reader does before it lists the servers. */
  const register = createVersionRegister({ clock, logger: { info: () => {}, warn: () => {} }, store: versionStore }).api
  const enterAll = (): Promise<boolean> => register.enter(servers.map((instance) => ({ service: instance.service, softwareVersion: readSoftwareVersion(instance) })))
  await enterAll()
  const fleet = members.map((_, index) => startNode(index))
  await clock.advanceAndSettle(10)
  return {
    clock,
    fleet,
    setServers: async (next: readonly BackendInstance[]) => {
      servers = next
      await enterAll()
      for (const node of fleet) node.setList(next)
    },
    /** Only this node still has the list of before. */
    setServersExcept: async (late: number, next: readonly BackendInstance[]) => {
      servers = next
      await enterAll()
      for (const [index, node] of fleet.entries()) if (index !== late) node.setList(next)
    },
    setRouteServices: (next: readonly string[]) => { routeServices = next },
    setStoreAway: (index: number, isAway: boolean) => { stores[index]!.isAway = isAway },
    versionStore,
    /** Starts a node again, without what it knew. */
    restart: (index: number) => {
      fleet[index]?.stop()
      fleet[index] = startNode(index)
    },
    cut: (one: number, other: number) => network.cut(members[one]!.address, members[other]!.address),
    heal: (one: number, other: number) => network.heal(members[one]!.address, members[other]!.address)
  }
}

const MIXED = [createInstance('v1-1', 'v1', 0), createInstance('v2-1', 'v2', 0)]

const find = async (clock: ManualClock, node: Node, requestId?: string): Promise<BegunVersion> => {
  const found = node.api.find(ROUTE, requestId)
  await clock.advanceAndSettle(2_500)
  return await found
}

describe('createStreamVersions', () => {
  test('knows the version of every stream while one has served for long enough', async () => {
    const { clock, fleet } = await startFleet(3)
    await clock.advanceAndSettle(HORIZON_MS)
    expect(await find(clock, fleet[0]!, 'never seen')).toEqual({ kind: 'known', service: SERVICE, softwareVersion: 'v1', source: 'register' })
    expect(await find(clock, fleet[0]!)).toMatchObject({ softwareVersion: 'v1' })
  })

  test('knows it from the first start of the fleet', async () => {
    const { clock, fleet } = await startFleet(3)
    expect(await find(clock, fleet[0]!, 'never seen')).toEqual({ kind: 'known', service: SERVICE, softwareVersion: 'v1', source: 'register' })
  })

  // After a loss of power of all nodes, streams that began since would be refused at all nodes but one.
  test('finds the version of a stream that began at a node that started lately', async () => {
    const { clock, fleet, setServers } = await startFleet(6)
    await setServers([createInstance('v1-1', 'v1', clock.wallTime() - 1_000)])
    fleet[0]!.api.recordBegin(SERVICE, { requestId: 'r1', softwareVersion: 'v1' })
    await clock.advanceAndSettle(100)
    for (const node of fleet) expect(await find(clock, node, 'r1')).toMatchObject({ kind: 'known', softwareVersion: 'v1' })
  })

  // The node that began the stream is gone when its caller takes it up.
  test('finds the version of a stream that another node began', async () => {
    const { clock, fleet, setServers, restart } = await startFleet(6)
    await clock.advanceAndSettle(HORIZON_MS)
    await setServers(MIXED)
    for (const id of ['r1', 'r2', 'r3']) fleet[0]!.api.recordBegin(SERVICE, { requestId: id, softwareVersion: 'v2' })
    await clock.advanceAndSettle(100)
    restart(0)
    for (const node of fleet) for (const id of ['r1', 'r2', 'r3']) expect(await find(clock, node, id)).toMatchObject({ kind: 'known', softwareVersion: 'v2' })
  })

  test('finds the version of a stream that began before a second version served', async () => {
    const { clock, fleet, setServers, restart } = await startFleet(6)
    await clock.advanceAndSettle(HORIZON_MS)
    fleet[1]!.api.recordBegin(SERVICE, { requestId: 'r1', softwareVersion: 'v1' })
    await clock.advanceAndSettle(2_000)
    await setServers(MIXED)
    await clock.advanceAndSettle(100)
    restart(1)
    for (const node of fleet) expect(await find(clock, node, 'r1')).toMatchObject({ kind: 'known', softwareVersion: 'v1' })
  })

  test('keeps the version of the last send before the first event', async () => {
    const { clock, fleet, setServers } = await startFleet(3)
    await setServers(MIXED)
    fleet[0]!.api.recordBegin(SERVICE, { requestId: 'r1', softwareVersion: 'v1' })
    await clock.advanceAndSettle(100)
    fleet[0]!.api.recordBegin(SERVICE, { requestId: 'r1', softwareVersion: 'v2' })
    await clock.advanceAndSettle(100)
    for (const node of fleet) expect(await find(clock, node, 'r1')).toMatchObject({ softwareVersion: 'v2' })
  })

  // A guess would join events of two versions.
  test('does not know the version of a stream of which nobody was told while two versions serve', async () => {
    const { clock, fleet, setServers } = await startFleet(3)
    await clock.advanceAndSettle(HORIZON_MS)
    await setServers(MIXED)
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'unknown', versions: ['v1', 'v2'] })
    expect(await find(clock, fleet[0]!)).toMatchObject({ kind: 'unknown' })
  })

  test('does not conclude from the only version that is left until no stream of the other can be taken up', async () => {
    const { clock, fleet, setServers } = await startFleet(3)
    await clock.advanceAndSettle(HORIZON_MS)
    await setServers(MIXED)
    await clock.advanceAndSettle(1_000)
    await setServers([createInstance('v2-1', 'v2', 0)])
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'unknown' })
    await clock.advanceAndSettle(HORIZON_MS)
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'unknown' })
    await clock.advanceAndSettle(ENDED_MS)
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ softwareVersion: 'v2', source: 'register' })
  })

  test('a node that can\'t read the register has a peer read it', async () => {
    const { clock, fleet, restart, setStoreAway } = await startFleet(3)
    await clock.advanceAndSettle(HORIZON_MS)
    setStoreAway(0, true)
    restart(0)
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'known', softwareVersion: 'v1', source: 'registerOfPeer' })
  })

  // Its list says what served when it was read, however long the node has known the servers.
  test('a node that is cut off from the store and its peers concludes nothing from its list', async () => {
    const { clock, fleet, cut, setStoreAway, setServersExcept } = await startFleet(3)
    await clock.advanceAndSettle(HORIZON_MS)
    setStoreAway(0, true)
    for (const other of [1, 2]) cut(0, other)
    await setServersExcept(0, MIXED)
    fleet[0]!.api.recordBegin(SERVICE, { requestId: 'r1', softwareVersion: 'v1' })
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'unknown', versions: ['v1'] })
    expect(await find(clock, fleet[0]!, 'r1')).toMatchObject({ kind: 'known', softwareVersion: 'v1', source: 'own' })
  })

  // A route that led to another service a moment ago may have begun the stream there, at the same version.
  test.each([[['engines', 'others']], [['others']], [[]]])('does not conclude from the only version of a service where the register of routes has %j', async (services) => {
    const { clock, fleet, setRouteServices } = await startFleet(3)
    setRouteServices(services)
    await clock.advanceAndSettle(HORIZON_MS)
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'unknown' })
  })

  test('finds the service at which a stream of a split route began', async () => {
    const { clock, fleet } = await startFleet(3)
    await clock.advanceAndSettle(HORIZON_MS)
    const split = { ...ROUTE, targets: [{ service: 'others', weight: 1 }, ...ROUTE.targets] }
    fleet[0]!.api.recordBegin(SERVICE, { requestId: 'r1', softwareVersion: 'v1' })
    expect(await fleet[0]!.api.find(split, 'r1')).toMatchObject({ kind: 'known', service: SERVICE, softwareVersion: 'v1' })
    const unknown = fleet[0]!.api.find(split, 'r9')
    await clock.advanceAndSettle(2_500)
    expect(await unknown).toMatchObject({ kind: 'unknown' })
  })

  // A peer whose list is late as well would join events of two versions.
  test('a node whose list is late does not conclude from it', async () => {
    const { clock, fleet, setServersExcept } = await startFleet(3)
    await clock.advanceAndSettle(HORIZON_MS)
    await setServersExcept(0, MIXED)
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'unknown' })
  })

  // A process that takes the only version that is left for the only one that served would join events of two.
  test('a process that started lately learns which version has just left', async () => {
    const { clock, fleet, setServers, restart } = await startFleet(3)
    await clock.advanceAndSettle(HORIZON_MS)
    await setServers(MIXED)
    await clock.advanceAndSettle(1_000)
    await setServers([createInstance('v2-1', 'v2', 0)])
    restart(0)
    await clock.advanceAndSettle(1_000)
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'unknown', versions: ['v2', 'v1'] })
  })

  // Requests that wait in a node that starts would be refused before it has met its peers.
  test('looks again while the process has just started', async () => {
    const { clock, fleet, restart, cut, heal } = await startFleet(3)
    await clock.advanceAndSettle(HORIZON_MS)
    for (const other of [1, 2]) cut(0, other)
    restart(0)
    fleet[0]!.setList([createInstance('v1-1', 'v1', clock.wallTime())])
    const found = fleet[0]!.api.find(ROUTE, 'r9')
    await clock.advanceAndSettle(300)
    for (const other of [1, 2]) heal(0, other)
    await clock.advanceAndSettle(500)
    expect(await found).toMatchObject({ kind: 'known', softwareVersion: 'v1' })
  })

  // After a loss of power of all nodes no process remembers a version that left a moment before, whenever servers started.
  test('a fleet that started lately knows of a version that left before', async () => {
    const { clock, fleet, setServers, restart } = await startFleet(3)
    await setServers(MIXED)
    await setServers([createInstance('v2-1', 'v2', 0)])
    for (const index of fleet.keys()) restart(index)
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'unknown', versions: ['v2', 'v1'] })
  })

  test('a fleet that started lately knows the only version, though a server started lately too', async () => {
    const { clock, fleet, setServers, restart } = await startFleet(3)
    await setServers([createInstance('v1-1', 'v1', 0), createInstance('v1-2', 'v1', clock.wallTime() - 1_000)])
    for (const index of fleet.keys()) restart(index)
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'known', softwareVersion: 'v1', source: 'register' })
  })

  // An entry that stays for good would have every stream told and kept, and refused after a loss of all nodes.
  test('takes a version out of the register long after its last server has left, and makes no calls then', async () => {
    const { clock, setServers, versionStore } = await startFleet(3)
    await setServers(MIXED)
    await setServers([createInstance('v2-1', 'v2', 0)])
    await clock.advanceAndSettle(HORIZON_MS)
    expect(versionStore.entries().map(({ version }) => [version?.softwareVersion, version?.isEnding])).toEqual([['v1', true], ['v2', false]])
    await clock.advanceAndSettle(ENDED_MS)
    expect(versionStore.entries().map(({ version }) => version?.softwareVersion)).toEqual(['v2'])
    const calls = versionStore.countCalls()
    await clock.advanceAndSettle(ENDED_MS)
    expect(versionStore.countCalls()).toEqual(calls)
  })

  // The timers of all processes ended with them: an entry that was marked already stayed for good.
  test('takes it out also when all nodes start again in the meantime', async () => {
    const { clock, fleet, setServers, restart, versionStore } = await startFleet(3)
    await setServers(MIXED)
    await setServers([createInstance('v2-1', 'v2', 0)])
    await clock.advanceAndSettle(HORIZON_MS)
    for (const index of fleet.keys()) restart(index)
    await clock.advanceAndSettle(ENDED_MS)
    expect(versionStore.entries().map(({ version }) => version?.softwareVersion)).toEqual(['v2'])
    expect(await find(clock, fleet[0]!, 'r9')).toMatchObject({ kind: 'known', softwareVersion: 'v2', source: 'register' })
  })

  // A version that served again for a while must stay for as long as the streams of that time.
  test('counts from the last server that left, not from the mark', async () => {
    const { clock, setServers, versionStore } = await startFleet(1)
    await setServers(MIXED)
    await setServers([createInstance('v2-1', 'v2', 0)])
    await clock.advanceAndSettle(HORIZON_MS)
    await setServers(MIXED)
    await setServers([createInstance('v2-1', 'v2', 0)])
    await clock.advanceAndSettle(HORIZON_MS)
    expect(versionStore.entries().map(({ version }) => version?.softwareVersion)).toContain('v1')
  })

  test('marks a version that leaves while another one waits to be removed', async () => {
    const { clock, setServers, versionStore } = await startFleet(3)
    await setServers(MIXED)
    await setServers([createInstance('v2-1', 'v2', 0)])
    await clock.advanceAndSettle(5_000)
    await setServers([createInstance('v3-1', 'v3', 0)])
    await clock.advanceAndSettle(5_000)
    expect(versionStore.entries().map(({ version }) => [version?.softwareVersion, version?.isEnding])).toEqual([['v1', true], ['v2', true], ['v3', false]])
  })

  // Streams that began after their version had become the only one again were known to their own node only.
  test('finds at other nodes what began while an ended version is still registered', async () => {
    const { clock, fleet, setServers } = await startFleet(12)
    await setServers(MIXED)
    await setServers([createInstance('v2-1', 'v2', 0)])
    for (let second = 0; second < 60; second += 8) {
      const requestId = `r-${second}`
      fleet[0]!.api.recordBegin(SERVICE, { requestId, softwareVersion: 'v2' })
      await clock.advanceAndSettle(500)
      for (const index of [5, 7, 11]) expect(await find(clock, fleet[index]!, requestId), requestId).toMatchObject({ kind: 'known', softwareVersion: 'v2' })
    }
  })

  test('keeps a version in the register that serves again', async () => {
    const { clock, setServers, versionStore } = await startFleet(3)
    await setServers(MIXED)
    await setServers([createInstance('v2-1', 'v2', 0)])
    await clock.advanceAndSettle(HORIZON_MS)
    await setServers(MIXED)
    await clock.advanceAndSettle(ENDED_MS)
    expect(versionStore.entries().map(({ version }) => [version?.softwareVersion, version?.isEnding])).toEqual([['v1', false], ['v2', false]])
  })

  test('asks holders in its own zone when it is cut off from the others', async () => {
    const { clock, fleet, setServers, cut } = await startFleet(6)
    await setServers(MIXED)
    fleet[0]!.api.recordBegin(SERVICE, { requestId: 'r1', softwareVersion: 'v2' })
    await clock.advanceAndSettle(100)
    for (const inside of [1, 4]) for (const outside of [0, 2, 3, 5]) cut(inside, outside)
    for (const inside of [1, 4]) expect(await find(clock, fleet[inside]!, 'r1')).toMatchObject({ softwareVersion: 'v2' })
  })
})
