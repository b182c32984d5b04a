import { describe, expect, it } from 'vitest'
import { createMembership } from './index.js'
import { createHeartbeatExchange } from '../heartbeatExchange/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../emulator/createMemoryPeerNetwork/index.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import type { Clock, PeerAddress, Vm } from '../../types/index.js'

const HEARTBEAT_MS = 500
const SETTINGS = { heartbeatIntervalMs: HEARTBEAT_MS, suspectAfterMs: 2000, deadAfterMs: 6000 }
/** Long enough for every node to declare a stopped one dead. */
const SETTLE_MS = 20_000

const addressOf = (name: string): PeerAddress => ({ host: name, port: 1 })

const createFleet = (nodeNames: readonly string[], zones: readonly string[] = ['venkov-a']) => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock })
  const pausedUntil = new Map<string, number>()
  let vms: readonly Vm[] | undefined
  // Timers of a paused node run when it resumes, as after SIGSTOP and SIGCONT.
  const createPausableClock = (name: string): Clock => ({
    ...clock,
    setTimer: (delayMs, callback) => {
      const run = (): void => {
        const resumesAt = pausedUntil.get(name) ?? 0
        if (clock.now() >= resumesAt) return callback()
        clock.setTimer(resumesAt - clock.now(), run)
      }
      return clock.setTimer(delayMs, run)
    }
  })
  const startNode = (name: string, seeds: readonly string[] = nodeNames) => {
    const transport = network.createTransport(addressOf(name))
    const service = createMembership({
      clock: createPausableClock(name),
      random: createSeededRandom(nodeNames.indexOf(name) + 1),
      transport,
      exchange: createHeartbeatExchange(),
      vmList: { current: () => vms, onRead: () => {} }
    }, {
      settings: { ...SETTINGS, nodeId: name, availabilityZone: zones[nodeNames.indexOf(name) % zones.length]!, seedPeers: seeds.map(addressOf) },
      address: () => addressOf(name)
    })
    service.start?.()
    const stop = async (): Promise<void> => {
      await service.stop?.()
      await transport.close()
    }
    return { name, membership: service.api, stop }
  }
  const setVms = (names: readonly string[]): void => {
    vms = names.map((name) => ({ name, kind: 'router', address: `${name}:1`, availabilityZone: 'venkov-a', state: 'live' }))
  }
  const pause = (name: string, ms: number): void => {
    pausedUntil.set(name, clock.now() + ms)
    for (const other of nodeNames) if (other !== name) network.cut(addressOf(name), addressOf(other))
    clock.setTimer(ms, () => { for (const other of nodeNames) network.heal(addressOf(name), addressOf(other)) })
  }
  return { clock, network, startNode, setVms, pause, startAll: () => nodeNames.map((name) => startNode(name)) }
}

type Node = ReturnType<ReturnType<typeof createFleet>['startNode']>

const liveNames = (node: Node): readonly string[] => node.membership.liveMembers().map((member) => member.nodeId).sort()

const stateOf = (node: Node, name: string) => node.membership.members().find((member) => member.nodeId === name)?.state

const FOUR = ['node-1', 'node-2', 'node-3', 'node-4']
const TWENTY = Array.from({ length: 20 }, (_, index) => `node-${String(index).padStart(2, '0')}`)

describe('createMembership', () => {
  it.each([
    { size: 'small', names: FOUR, zones: ['venkov-a'] },
    { size: 'larger than the full mesh', names: TWENTY, zones: ['venkov-a', 'venkov-b', 'venkov-c'] }
  ])('lets every node of a $size fleet discover every other', async ({ names, zones }) => {
    const fleet = createFleet(names, zones)
    const nodes = fleet.startAll()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    for (const node of nodes) expect(liveNames(node)).toEqual(names)
  })

  it('finds peers from the VM list alone', async () => {
    const fleet = createFleet(FOUR)
    const nodes = FOUR.map((name) => fleet.startNode(name, []))
    fleet.setVms(FOUR)
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    for (const node of nodes) expect(liveNames(node)).toEqual(FOUR)
  })

  it.each([
    { size: 'small', names: FOUR, zones: ['venkov-a'] },
    { size: 'larger than the full mesh', names: TWENTY, zones: ['venkov-a', 'venkov-b', 'venkov-c'] }
  ])('declares a stopped node of a $size fleet dead everywhere', async ({ names, zones }) => {
    const fleet = createFleet(names, zones)
    const nodes = fleet.startAll()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    await nodes[0]!.stop()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    for (const node of nodes.slice(1)) expect(stateOf(node, names[0]!)).toBe('dead')
  })

  it('keeps a stopped node dead although the VM list lags and still has it', async () => {
    const fleet = createFleet(FOUR)
    const nodes = fleet.startAll()
    fleet.setVms(FOUR)
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    await nodes[0]!.stop()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    expect(liveNames(nodes[1]!)).toEqual(['node-2', 'node-3', 'node-4'])
  })

  // Guards against a paused node that stays dead in its peers' views after it resumes.
  it('lists a paused node as live again after it resumes', async () => {
    const fleet = createFleet(FOUR)
    const nodes = fleet.startAll()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    fleet.pause('node-1', SETTLE_MS)
    await fleet.clock.advanceAndSettle(SETTLE_MS - 1)
    expect(stateOf(nodes[1]!, 'node-1')).toBe('dead')
    await fleet.clock.advanceAndSettle(5000)
    expect(liveNames(nodes[1]!)).toEqual(FOUR)
  })

  // A resumed node has missed heartbeats only because it was paused itself, and must not suspect its peers.
  it('suspects no peer after its own pause', async () => {
    const fleet = createFleet(FOUR)
    const nodes = fleet.startAll()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    fleet.pause('node-1', SETTLE_MS)
    const states: (string | undefined)[] = []
    nodes[0]!.membership.onChange(() => states.push(...FOUR.slice(1).map((name) => stateOf(nodes[0]!, name))))
    await fleet.clock.advanceAndSettle(SETTLE_MS + 5000)
    expect(states.filter((state) => state !== 'live')).toEqual([])
  })

  it('gives a restarted node a higher incarnation than before', async () => {
    const fleet = createFleet(FOUR)
    const nodes = fleet.startAll()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    const before = nodes[0]!.membership.self().incarnation
    await nodes[0]!.stop()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    const restarted = fleet.startNode('node-1')
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    expect(restarted.membership.self().incarnation).toBeGreaterThan(before)
    expect(liveNames(nodes[1]!)).toEqual(FOUR)
  })

  // Two zones that have declared each other dead send no heartbeats to each other, even after the partition heals.
  it.each([
    { size: 'small', names: FOUR, zones: ['venkov-a', 'venkov-b'] },
    { size: 'larger than the full mesh', names: TWENTY, zones: ['venkov-a', 'venkov-b'] }
  ])('joins the halves of a $size fleet after a partition', async ({ names, zones }) => {
    const fleet = createFleet(names, zones)
    const nodes = fleet.startAll()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    const [even, odd] = [0, 1].map((half) => names.filter((_, index) => index % 2 === half))
    for (const one of even!) for (const other of odd!) fleet.network.cut(addressOf(one), addressOf(other))
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    expect(liveNames(nodes[0]!)).toEqual(even)
    fleet.network.healAll()
    await fleet.clock.advanceAndSettle(2 * SETTLE_MS)
    for (const node of nodes) expect(liveNames(node)).toEqual(names)
  })

  it('does not list a leaving node as live, but still as a member', async () => {
    const fleet = createFleet(FOUR)
    const nodes = fleet.startAll()
    await fleet.clock.advanceAndSettle(SETTLE_MS)
    nodes[0]!.membership.announceLeaving()
    await fleet.clock.advanceAndSettle(2 * HEARTBEAT_MS)
    expect(liveNames(nodes[1]!)).toEqual(['node-2', 'node-3', 'node-4'])
    expect(stateOf(nodes[1]!, 'node-1')).toBe('leaving')
  })

  // A node that starts before its peers would otherwise serve for half a second without their state.
  it('contacts peers at a short interval while it has recently started and has none', async () => {
    const fleet = createFleet(['node-1', 'node-2'])
    const first = fleet.startNode('node-1')
    await fleet.clock.advanceAndSettle(HEARTBEAT_MS / 2 + 20)
    fleet.startNode('node-2', [])
    await fleet.clock.advanceAndSettle(HEARTBEAT_MS / 2 - 40)
    expect(liveNames(first)).toEqual(['node-1', 'node-2'])
  })
})

// One exception in a listener ended the heartbeats: peers took the node for dead until it was restarted.
it('sends heartbeats on after a listener threw', async () => {
  const { clock, startNode } = createFleet(['a', 'b', 'c'])
  const [first, second, third] = ['a', 'b', 'c'].map((name) => startNode(name))
  await clock.advanceAndSettle(SETTLE_MS)
  first!.membership.onChange(() => { throw new Error('unexpected') })
  await third!.stop()
  await clock.advanceAndSettle(SETTLE_MS)
  expect(second!.membership.members().map(({ nodeId, state }) => [nodeId, state]).sort()).toEqual([['a', 'live'], ['b', 'live'], ['c', 'dead']])
})
