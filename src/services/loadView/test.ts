import { describe, expect, it } from 'vitest'
import { createLoadView } from './index.js'
import { createHeartbeatExchange } from '../heartbeatExchange/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../emulator/createMemoryPeerNetwork/index.js'
import type { Heartbeat, LoadReport, Member, MemberState } from '../../types/index.js'

/** Long enough for a digest to go out and arrive, whatever was sent before. */
const SPREAD_MS = 600
const SETTINGS = { loadReportIntervalMs: 1000, deadAfterMs: 4000 }

const createMember = (nodeId: string, state: MemberState = 'live'): Member =>
  ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone: 'venkov-a', state, generation: 0 })

const createReport = (running: number, changes: Partial<LoadReport> = {}): LoadReport => ({ running, waiting: 0, slots: 8, leaving: false, ageMs: 500, ...changes })

/** Views whose digests go over a network in memory, and whose heartbeats go when the test says so. */
const createViews = (names: readonly string[], publisher?: string) => {
  const clock = createManualClock()
  const dead = new Set<string>()
  const incarnations = new Map<string, number>()
  const listeners: (() => void)[] = []
  let isLosing = false
  const network = createMemoryPeerNetwork({ clock, isLost: () => isLosing })
  const describeMember = (name: string): Member => ({ ...createMember(name, dead.has(name) ? 'dead' : 'live'), incarnation: incarnations.get(name) ?? 1 })
  const membership = { members: () => names.map(describeMember), onChange: (listener: () => void) => { listeners.push(listener) } }
  const createNode = (nodeId: string) => {
    const exchange = createHeartbeatExchange()
    const transport = network.createTransport(createMember(nodeId).address)
    const service = createLoadView({ clock, transport, membership, exchange, publishesExcess: () => nodeId === publisher }, { settings: { ...SETTINGS, nodeId } })
    service.start?.()
    return { exchange, transport, view: service.api }
  }
  const nodes = new Map(names.map((nodeId) => [nodeId, createNode(nodeId)]))
  const notify = (): void => { for (const listen of listeners) listen() }
  /** Heartbeats both ways: one tells the number of the last digest, the other asks for what is missing. */
  const beat = async (from: string, to: string): Promise<void> => {
    for (const [sender, receiver] of [[from, to], [to, from]] as const) {
      const heartbeat: Heartbeat = { kind: 'heartbeat', member: describeMember(sender), rumours: [], ...nodes.get(sender)!.exchange.collect(createMember(receiver)) }
      nodes.get(receiver)!.exchange.deliver(heartbeat)
    }
    await clock.advanceAndSettle(SPREAD_MS)
  }
  const kill = (name: string): void => {
    dead.add(name)
    notify()
  }
  const restart = (name: string): void => {
    nodes.set(name, createNode(name))
    incarnations.set(name, 2)
    notify()
  }
  const lose = async (): Promise<void> => {
    isLosing = true
    await clock.advanceAndSettle(SPREAD_MS)
    isLosing = false
  }
  return { clock, view: (name: string) => nodes.get(name)!.view, transport: (name: string) => nodes.get(name)!.transport, spread: () => clock.advanceAndSettle(SPREAD_MS), beat, lose, kill, restart }
}

const startMany = (view: { readonly recordStart: (name: string) => void }, count: number): void => {
  for (let index = 0; index < count; index++) view.recordStart('engine-1')
}

describe('createLoadView', () => {
  it('sums the own requests and those that peers published', async () => {
    const { view, spread } = createViews(['a', 'b', 'c'])
    startMany(view('a'), 2)
    startMany(view('b'), 3)
    startMany(view('c'), 1)
    await spread()
    expect(view('a').estimateInFlight('engine-1')).toBe(6)
    expect(view('a').ownInFlight('engine-1')).toBe(2)
  })

  it('tells peers of a change within a tenth of a second', async () => {
    const { clock, view, spread } = createViews(['a', 'b'])
    await spread()
    startMany(view('a'), 1)
    await clock.advanceAndSettle(100)
    expect(view('b').estimateInFlight('engine-1')).toBe(1)
  })

  it('sends nothing when nothing changed', async () => {
    const { view, transport, spread } = createViews(['a', 'b'])
    startMany(view('a'), 1)
    await spread()
    const before = transport('a').messagesSent()
    await spread()
    expect(transport('a').messagesSent()).toBe(before)
  })

  // Digests of each change would pass the byte budget when requests come fast.
  it('keeps to its budget however many requests there are', async () => {
    const { clock, view, transport } = createViews(['a', 'b', 'c', 'd'])
    for (let turn = 0; turn < 2000; turn++) {
      view('a').recordStart(`engine-${turn % 40}`)
      await clock.advanceAndSettle(5)
    }
    const bytes = transport('a').bytesSent().get('loadDigest') ?? 0
    expect(bytes).toBeGreaterThan(0)
    expect(bytes / 10).toBeLessThan(4000)
    await clock.advanceAndSettle(SPREAD_MS)
    expect(view('b').estimateInFlight('engine-1')).toBe(50)
  })

  it('throws when more requests end than started', () => {
    const { view } = createViews(['a'])
    expect(() => view('a').recordEnd('engine-1')).toThrow(/more requests ended/)
  })

  // A lost digest would leave a wrong count until its server changes again.
  it('recovers from a lost digest', async () => {
    const { view, spread, lose, beat } = createViews(['a', 'b'])
    startMany(view('a'), 1)
    await spread()
    view('a').recordEnd('engine-1')
    await lose()
    view('a').recordStart('engine-2')
    await spread()
    expect(view('b').estimateInFlight('engine-1')).toBe(1)
    await beat('a', 'b')
    expect(view('b').estimateInFlight('engine-1')).toBe(0)
  })

  // A lost last change would stay unnoticed, since no later digest shows the gap.
  it('recovers from a lost digest that no other follows', async () => {
    const { view, spread, lose, beat } = createViews(['a', 'b'])
    startMany(view('a'), 1)
    await spread()
    view('a').recordEnd('engine-1')
    await lose()
    await beat('a', 'b')
    expect(view('b').estimateInFlight('engine-1')).toBe(0)
  })

  // Digests of a restarted router would pass for late ones of its previous incarnation.
  it('begins anew with a peer that restarted', async () => {
    const { view, spread, restart, beat } = createViews(['a', 'b'])
    for (let turn = 0; turn < 5; turn++) {
      startMany(view('a'), 1)
      await spread()
    }
    restart('a')
    expect(view('b').estimateInFlight('engine-1')).toBe(0)
    startMany(view('a'), 1)
    await beat('a', 'b')
    await beat('a', 'b')
    expect(view('b').estimateInFlight('engine-1')).toBe(1)
  })

  it('drops the counts of a peer that died', async () => {
    const { view, spread, kill } = createViews(['a', 'b'])
    startMany(view('b'), 3)
    await spread()
    kill('b')
    expect(view('a').estimateInFlight('engine-1')).toBe(0)
  })

  it('drops the counts of a peer that is silent while rumours keep it live', async () => {
    const { clock, view, beat, spread } = createViews(['a', 'b', 'c'])
    startMany(view('b'), 3)
    await spread()
    await clock.advanceAndSettle(3 * SETTINGS.deadAfterMs + 1)
    await beat('c', 'a')
    expect(view('a').estimateInFlight('engine-1')).toBe(0)
  })

  it.each([
    { case: 'shows what routers that are cut off have sent', before: 2, report: createReport(7), estimate: 7 },
    { case: 'counts waiting requests', before: 2, report: createReport(3, { waiting: 2 }), estimate: 5 },
    { case: 'adds nothing that is known already', before: 4, report: createReport(4), estimate: 4 },
    { case: 'is below what is known', before: 4, report: createReport(1), estimate: 4 },
    { case: 'is too old to compare', before: 2, report: createReport(7, { ageMs: 60_000 }), estimate: 2 }
  ])('estimates $estimate when a report $case', ({ before, report, estimate }) => {
    const { view } = createViews(['a'])
    startMany(view('a'), before)
    view('a').applyReport('engine-1', report)
    expect(view('a').estimateInFlight('engine-1')).toBe(estimate)
  })

  // Requests that ended since a late report was made would be counted as somebody else's for seconds.
  it('does not count requests twice that ended since the report was made', async () => {
    const { clock, view } = createViews(['a'])
    startMany(view('a'), 5)
    await clock.advanceAndSettle(500)
    for (let index = 0; index < 5; index++) view('a').recordEnd('engine-1')
    view('a').applyReport('engine-1', createReport(5))
    expect(view('a').estimateInFlight('engine-1')).toBe(0)
  })

  it('forgets an excess that no report confirms', async () => {
    const { clock, view } = createViews(['a'])
    view('a').applyReport('engine-1', createReport(5))
    await clock.advanceAndSettle(3 * SETTINGS.loadReportIntervalMs)
    expect(view('a').estimateInFlight('engine-1')).toBe(0)
  })

  it('counts an excess once when two nodes read the report', async () => {
    const { view, spread } = createViews(['a', 'b'], 'a')
    for (const name of ['a', 'b']) view(name).applyReport('engine-1', createReport(5))
    await spread()
    expect([view('a'), view('b')].map((each) => each.estimateInFlight('engine-1'))).toEqual([5, 5])
  })
})
