import { describe, expect, it } from 'vitest'
import { createLoadView } from './index.js'
import { createHeartbeatExchange } from '../heartbeatExchange/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { Heartbeat, LoadReport, Member, MemberState } from '../../types/index.js'

const SETTINGS = { loadReportIntervalMs: 1000, deadAfterMs: 4000 }

const createMember = (nodeId: string, state: MemberState = 'live'): Member =>
  ({ nodeId, incarnation: 1, address: { host: nodeId, port: 1 }, availabilityZone: 'venkov-a', state, generation: 0 })

const createReport = (running: number, changes: Partial<LoadReport> = {}): LoadReport => ({ running, waiting: 0, slots: 8, leaving: false, ageMs: 500, ...changes })

/** Views that exchange heartbeats when the test says so. */
const createViews = (names: readonly string[], publisher?: string) => {
  const clock = createManualClock()
  const dead = new Set<string>()
  const listeners: (() => void)[] = []
  const membership = {
    members: () => names.map((name) => createMember(name, dead.has(name) ? 'dead' : 'live')),
    onChange: (listener: () => void) => { listeners.push(listener) }
  }
  const nodes = new Map(names.map((nodeId) => {
    const exchange = createHeartbeatExchange()
    const { api } = createLoadView({ clock, membership, exchange, publishesExcess: () => nodeId === publisher }, { settings: { ...SETTINGS, nodeId } })
    return [nodeId, { exchange, view: api }]
  }))
  const createHeartbeat = (from: string, to: string): Heartbeat =>
    ({ kind: 'heartbeat', member: createMember(from), rumours: [], ...nodes.get(from)!.exchange.collect(createMember(to)) })
  const send = (from: string, to: string): void => nodes.get(to)!.exchange.deliver(createHeartbeat(from, to))
  const kill = (name: string): void => {
    dead.add(name)
    for (const listen of listeners) listen()
  }
  return { clock, view: (name: string) => nodes.get(name)!.view, send, lose: createHeartbeat, kill }
}

const startMany = (view: { readonly recordStart: (name: string) => void }, count: number): void => {
  for (let index = 0; index < count; index++) view.recordStart('engine-1')
}

describe('createLoadView', () => {
  it('sums the own requests and those that peers published', () => {
    const { view, send } = createViews(['a', 'b', 'c'])
    startMany(view('a'), 2)
    startMany(view('b'), 3)
    startMany(view('c'), 1)
    send('b', 'a')
    send('c', 'a')
    expect(view('a').estimateInFlight('engine-1')).toBe(6)
    expect(view('a').ownInFlight('engine-1')).toBe(2)
  })

  it('sends nothing when nothing changed', () => {
    const { view } = createViews(['a', 'b'])
    view('a').nextDigest('b')
    expect(view('a').nextDigest('b')).toBeUndefined()
  })

  it('throws when more requests end than started', () => {
    const { view } = createViews(['a'])
    expect(() => view('a').recordEnd('engine-1')).toThrow(/more requests ended/)
  })

  // A heartbeat with a change is lost. The peer goes on with a wrong count for a
  // server that does not change again, until it asks for full counts.
  it('recovers from a lost digest', () => {
    const { view, send, lose } = createViews(['a', 'b'])
    startMany(view('a'), 1)
    send('a', 'b')
    view('a').recordEnd('engine-1')
    lose('a', 'b')
    view('a').recordStart('engine-2')
    send('a', 'b')
    expect(view('b').estimateInFlight('engine-1')).toBe(1)
    send('b', 'a')
    send('a', 'b')
    expect(view('b').estimateInFlight('engine-1')).toBe(0)
  })

  // The last change before a quiet time is lost, so no later sequence number
  // shows the gap.
  it('recovers from a lost digest that no other follows', () => {
    const { view, send, lose } = createViews(['a', 'b'])
    startMany(view('a'), 1)
    send('a', 'b')
    view('a').recordEnd('engine-1')
    lose('a', 'b')
    for (let turn = 0; turn < 130; turn++) send('a', 'b')
    expect(view('b').estimateInFlight('engine-1')).toBe(0)
  })

  it('drops the counts of a peer that died', () => {
    const { view, send, kill } = createViews(['a', 'b'])
    startMany(view('b'), 3)
    send('b', 'a')
    kill('b')
    expect(view('a').estimateInFlight('engine-1')).toBe(0)
  })

  it('drops the counts of a peer that is silent while rumours keep it live', async () => {
    const { clock, view, send } = createViews(['a', 'b', 'c'])
    startMany(view('b'), 3)
    send('b', 'a')
    await clock.advanceAndSettle(3 * SETTINGS.deadAfterMs + 1)
    send('c', 'a')
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

  // The server's report is half a second old. Requests that it shows have ended
  // since; taken for somebody else's, they would be counted for seconds.
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

  it('counts an excess once when two nodes read the report', () => {
    const { view, send } = createViews(['a', 'b'], 'a')
    for (const name of ['a', 'b']) view(name).applyReport('engine-1', createReport(5))
    send('a', 'b')
    send('b', 'a')
    expect([view('a'), view('b')].map((each) => each.estimateInFlight('engine-1'))).toEqual([5, 5])
  })
})
