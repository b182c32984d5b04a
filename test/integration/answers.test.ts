/**
 * Tests with real processes that every caller gets the complete answer to its own
 * request or an error, while engines and links fail.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { findChatProblems, sendChat, type SentChat } from '../_lib/sendChat.js'
import { findLedgerProblems } from '../_lib/sendOrder.js'
import { startFleet, type Fleet, type FleetBackend } from '../_lib/startFleet.js'
import { waitFor } from '../_lib/waitFor.js'

const CHATS = 12

type Case = {
  readonly name: string
  /** Runs before the first request. */
  readonly before?: (engines: readonly FleetBackend[]) => Promise<void> | void
  /** Runs when every answer has started. */
  readonly amid?: (engines: readonly FleetBackend[]) => Promise<void> | void
  /** Whether answers are streamed; default true. */
  readonly stream?: boolean
  /** Whether some callers may get an error, since their streams can't be resumed. */
  readonly loses?: boolean
}

const setFaults = (fault: Readonly<Record<string, unknown>>) => async (engines: readonly FleetBackend[]): Promise<void> => {
  for (const engine of engines) await engine.setFault(fault)
}

const cases: readonly Case[] = [
  { name: 'no fault' },
  { name: 'an engine killed before the requests', before: ([first]) => first?.process.kill() },
  { name: 'an engine killed in mid-stream', amid: ([first]) => first?.process.kill(), loses: true },
  { name: 'an engine frozen before the requests, with its connections open', before: ([first]) => first?.process.pause() },
  {
    name: 'an engine frozen in mid-stream for a while',
    amid: ([first]) => {
      first?.process.pause()
      setTimeout(() => first?.process.resume(), 1_500)
    }
  },
  { name: 'all connections reset in mid-stream', amid: (engines) => engines.forEach(({ link }) => link.resetAll()) },
  { name: 'links that cut every answer after some events', before: (engines) => engines.forEach(({ link }) => link.setFault({ kind: 'cutAfter', direction: 'toClient', bytes: 6_000 })) },
  {
    name: 'a link cut off in mid-stream and healed',
    amid: ([first]) => {
      first?.link.setFault({ kind: 'blackhole' })
      setTimeout(() => first?.link.setFault({ kind: 'none' }), 1_500)
    }
  },
  { name: 'crossed answers', before: setFaults({ fault: 'crossedAnswer', count: 3 }) },
  { name: 'crossed non-streamed answers', before: setFaults({ fault: 'crossedAnswer', count: 3 }), stream: false },
  { name: 'late answers', before: setFaults({ fault: 'lateAnswer', on: true, ms: 700 }) },
  { name: 'late non-streamed answers', before: setFaults({ fault: 'lateAnswer', on: true, ms: 700 }), stream: false },
  { name: 'events sent twice', before: setFaults({ fault: 'duplicateEvent', on: true, after: 3 }) },
  { name: 'streams that close normally without their end marker', before: setFaults({ fault: 'truncateAnswer', count: 4, after: 5 }) }
]

const hasNoOpenRequests = async (fleet: Fleet): Promise<boolean> => {
  const statuses = await Promise.all(fleet.routers.map((router) => router.readStatus()))
  return statuses.every(({ ledger }) => ledger.open === 0)
}

/*
 * Guards against a truncated answer that is delivered as complete, and against an
 * answer that belongs to another request: an engine dies, freezes or crosses its
 * connections, and the router does not notice it.
 */
describe('answers under faults', () => {
  let fleet: Fleet
  beforeEach(async () => { fleet = await startFleet({ routers: 2, services: 0, engines: 3, engineFlags: ['--decode-interval', '8'] }) })
  afterEach(async () => { await fleet.stop() })

  it.each(cases)('are complete or an error with $name', async ({ before, amid, stream = true, loses = false }) => {
    await before?.(fleet.engines)
    const chats = Array.from({ length: CHATS }, (_, index): SentChat => sendChat(fleet.routers[index % 2]!.caller, `question ${index}`, stream))
    if (amid !== undefined) {
      await Promise.all(chats.map(({ whenStarted }) => whenStarted))
      await amid(fleet.engines)
    }
    const ends = await Promise.all(chats.map(({ whenEnded }) => whenEnded))
    await waitFor('all requests to end', () => hasNoOpenRequests(fleet))
    // A frozen engine can't return its journal.
    for (const engine of fleet.engines) engine.process.resume()
    const remaining = fleet.engines.filter(({ process }) => !process.hasExited())
    const journals = await Promise.all(remaining.map((engine) => engine.readJournal()))
    expect(findChatProblems(ends, journals.flat())).toEqual([])
    expect(await findLedgerProblems(fleet.routers)).toEqual([])
    const errors = ends.filter(({ text }) => text === undefined).map(({ errorBody }) => errorBody)
    if (loses) expect(errors.length).toBeLessThan(CHATS)
    else expect(errors).toEqual([])
  })
})
