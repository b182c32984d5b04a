import { describe, expect, it } from 'vitest'
import { createLoadView } from './index.js'
import { createHeartbeatExchange } from '../heartbeatExchange/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../emulator/createMemoryPeerNetwork/index.js'
import type { Heartbeat, LoadReport, Member, MemberState } from '../../types/index.js'

/** Long enough for a digest to be sent and received, whatever was sent before. */
const SPREAD_MS = 600
const SETTINGS = { loadReportIntervalMs: 1000, deadAfterMs: 4000 }

const createMember = (nodeId: string, state: MemberState = 'live'): Member =>
  ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone: 'venkov-a', state, generation: 0 })

const createReport = (running: number, changes: Partial<LoadReport> = {}): LoadReport => ({ running, waiting: 0, slots: 8, leaving: false, ageMs: 500, ...changes })

/** Load views that send digests over an in-memory network; heartbeats are sent by `beat`. */
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
    const unreadTokens = new Map<string, number>()
    const service = createLoadView({ clock, transport, membership, exchange, publishesExcess: () => nodeId === publisher, readUnreadTokens: () => unreadTokens }, { settings: { ...SETTINGS, nodeId } })
    service.start?.()
    return { exchange, transport, view: service.api, unreadTokens, readPeersUnread: service.readPeersUnread }
  }
  const nodes = new Map(names.map((nodeId) => [nodeId, createNode(nodeId)]))
  const notify = (): void => { for (const listen of listeners) listen() }
  /** Heartbeats in both directions: one carries the sequence number of the last digest, the other requests missing counts. */
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
  return { clock, node: (name: string) => nodes.get(name)!, view: (name: string) => nodes.get(name)!.view, transport: (name: string) => nodes.get(name)!.transport, spread: () => clock.advanceAndSettle(SPREAD_MS), beat, lose, kill, restart }
}

const startMany = (view: { readonly recordStart: (name: string) => void }, count: number): void => {
  for (let index = 0; index < count; index++) view.recordStart('engine-1')
}

describe('createLoadView', () => {
  it('sums its own requests and those that peers published', async () => {
    const { view, spread } = createViews(['a', 'b', 'c'])
    startMany(view('a'), 2)
    startMany(view('b'), 3)
    startMany(view('c'), 1)
    await spread()
    expect(view('a').estimateInFlight('engine-1')).toBe(6)
    expect(view('a').ownInFlight('engine-1')).toBe(2)
  })

  it('sums the unread prompt tokens that live peers state', async () => {
    const views = createViews(['a', 'b', 'c'])
    for (const name of ['a', 'b']) {
      views.node(name).unreadTokens.set('engine-1', 2_560)
      views.view(name).recordStart('engine-1')
    }
    await views.spread()
    const withBoth = views.node('c').readPeersUnread('engine-1')?.tokens
    views.kill('b')
    expect([withBoth, views.node('c').readPeersUnread('engine-1')?.tokens]).toEqual([5_120, 2_560])
  })

  it('drops the unread prompt tokens of a peer whose requests have ended', async () => {
    const views = createViews(['a', 'b'])
    views.node('a').unreadTokens.set('engine-1', 2_560)
    views.view('a').recordStart('engine-1')
    await views.spread()
    views.view('a').recordEnd('engine-1')
    await views.spread()
    expect(views.node('b').readPeersUnread('engine-1')).toBeUndefined()
  })

  it('broadcasts a change to peers within 100 ms', async () => {
    const { clock, view, spread } = createViews(['a', 'b'])
    await spread()
    startMany(view('a'), 1)
    await clock.advanceAndSettle(100)
    expect(view('b').estimateInFlight('engine-1')).toBe(1)
  })

  it('sends no digest when no count has changed', async () => {
    const { view, transport, spread } = createViews(['a', 'b'])
    startMany(view('a'), 1)
    await spread()
    const before = transport('a').messagesSent()
    await spread()
    expect(transport('a').messagesSent()).toBe(before)
  })

  // A digest for each change would exceed the byte budget at a high request rate.
  it('stays within its byte budget at any request rate', async () => {
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

  // A lost digest would leave a wrong count until the count of its server changes again.
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

  // The loss of the last digest would go unnoticed, since no later digest reveals the gap.
  it('recovers when the last digest is lost', async () => {
    const { view, spread, lose, beat } = createViews(['a', 'b'])
    startMany(view('a'), 1)
    await spread()
    view('a').recordEnd('engine-1')
    await lose()
    await beat('a', 'b')
    expect(view('b').estimateInFlight('engine-1')).toBe(0)
  })

  // Digests of a restarted router would look like late ones of its previous incarnation.
  it('resets the counts of a peer that restarted', async () => {
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

  it('drops the counts of a dead peer', async () => {
    const { view, spread, kill } = createViews(['a', 'b'])
    startMany(view('b'), 3)
    await spread()
    kill('b')
    expect(view('a').estimateInFlight('engine-1')).toBe(0)
  })

  it('drops the counts of a peer that sends no messages while gossip keeps it live', async () => {
    const { clock, view, beat, spread } = createViews(['a', 'b', 'c'])
    startMany(view('b'), 3)
    await spread()
    await clock.advanceAndSettle(3 * SETTINGS.deadAfterMs + 1)
    await beat('c', 'a')
    expect(view('a').estimateInFlight('engine-1')).toBe(0)
  })

  it.each([
    { case: 'includes requests of routers that are partitioned', before: 2, report: createReport(7), estimate: 7 },
    { case: 'counts waiting requests', before: 2, report: createReport(3, { waiting: 2 }), estimate: 5 },
    { case: 'equals the known count', before: 4, report: createReport(4), estimate: 4 },
    { case: 'is below the known count', before: 4, report: createReport(1), estimate: 4 },
    { case: 'is too old to compare', before: 2, report: createReport(7, { ageMs: 60_000 }), estimate: 2 }
  ])('estimates $estimate when a report $case', ({ before, report, estimate }) => {
    const { view } = createViews(['a'])
    startMany(view('a'), before)
    view('a').applyReport('engine-1', report)
    expect(view('a').estimateInFlight('engine-1')).toBe(estimate)
  })

  // Requests that ended after a late report was made would be counted as requests of other routers for seconds.
  it('does not count requests that ended since the report was made', async () => {
    const { clock, view } = createViews(['a'])
    startMany(view('a'), 5)
    await clock.advanceAndSettle(500)
    for (let index = 0; index < 5; index++) view('a').recordEnd('engine-1')
    view('a').applyReport('engine-1', createReport(5))
    expect(view('a').estimateInFlight('engine-1')).toBe(0)
  })

  it('drops an excess that no new report confirms', async () => {
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
