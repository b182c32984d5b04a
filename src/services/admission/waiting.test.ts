/** Order, bounds and refusals of a queue by priority, as gateway nodes use it. */
import { describe, expect, test } from 'vitest'
import { createAdmission, defaultAdmissionOptions } from './index.js'
import type { AdmissionOptions } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { AdmissionTicket, WaitingDemand } from '../../types/index.js'

const createQueue = (options: Partial<AdmissionOptions> = {}) => {
  const clock = createManualClock()
  const { api } = createAdmission({ clock, countSlots: () => 0, countEqualPart: () => 1 }, { ...defaultAdmissionOptions, order: 'priority', pollIntervalMs: 10, ...options })
  const room = { slots: 1, used: 0 }
  const events: string[] = []
  const tickets: AdmissionTicket[] = []
  const enter = (name: string, changes: Partial<WaitingDemand> = {}) =>
    api.enter({ clientAccount: name, service: 'desk', tokens: 1, overnight: false, priority: 1, deadlineAt: clock.now() + 10_000, hasRoom: () => room.used < room.slots, ...changes }, (outcome) => {
      if (!outcome.ok) return events.push(`${name} ${outcome.error.reason}`)
      room.used += 1
      tickets.push(outcome.value)
      return events.push(name)
    })
  const finishOldest = (): void => {
    room.used -= 1
    tickets.shift()?.finish(1)
  }
  return { clock, api, room, events, enter, finishOldest }
}

describe('a queue by priority', () => {
  test('admits the most urgent first, then the account with the least work, then the least time left', () => {
    const { events, enter, finishOldest } = createQueue()
    enter('running')
    enter('late', { priority: 2 })
    enter('busy', { tokens: 5 })
    enter('busy-2', { clientAccount: 'busy', tokens: 5, deadlineAt: 5_000 })
    enter('calm')
    enter('urgent', { priority: 0 })
    for (let turn = 0; turn < 6; turn++) finishOldest()
    expect(events).toEqual(['running', 'urgent', 'busy-2', 'calm', 'busy', 'late'])
  })

  test('sees room that other nodes free', () => {
    const { clock, events, room, enter } = createQueue()
    enter('a')
    enter('b')
    room.slots = 2
    clock.advance(10)
    expect(events).toEqual(['a', 'b'])
  })

  // Counts of peers that stay too high would otherwise keep callers waiting on a node that sends nothing.
  test('admits one request while none of this node runs, whatever it believes of the room', () => {
    const { events, room, enter } = createQueue()
    room.slots = 0
    enter('a')
    enter('b')
    expect(events).toEqual(['a'])
  })

  test('gives up the place of a caller that leaves', () => {
    const { events, enter, finishOldest } = createQueue()
    enter('a')
    enter('b').leave()
    enter('c')
    finishOldest()
    expect(events).toEqual(['a', 'b cancelled', 'c'])
  })

  test('refuses at once what would wait too long by the pace of ends', () => {
    const { clock, events, enter, finishOldest } = createQueue()
    enter('a')
    clock.advance(100)
    finishOldest()
    enter('b')
    enter('c', { deadlineAt: clock.now() + 150 })
    enter('d', { deadlineAt: clock.now() + 150 })
    expect(events).toEqual(['a', 'b', 'd deadline'])
  })

  test('refuses what more urgent requests push back beyond its limit', () => {
    const { clock, events, enter, finishOldest } = createQueue()
    enter('a')
    clock.advance(100)
    finishOldest()
    enter('b')
    enter('c', { deadlineAt: clock.now() + 250 })
    enter('d', { priority: 0 })
    enter('e', { priority: 0 })
    clock.advance(10)
    expect(events).toEqual(['a', 'b', 'c deadline'])
  })

  test('refuses the least urgent when it is full', () => {
    const { events, enter } = createQueue({ maximumQueued: 2 })
    enter('a')
    enter('b')
    enter('c', { priority: 2 })
    enter('d', { priority: 0 })
    enter('e', { priority: 2 })
    expect(events).toEqual(['a', 'c lessUrgent', 'e lessUrgent'])
  })

  test('refuses a repeat that came too early before others of its kind', () => {
    const { events, enter } = createQueue({ maximumQueued: 2 })
    enter('a')
    enter('b')
    enter('c', { isRepeat: true })
    enter('d')
    expect(events).toEqual(['a', 'c repeatedEarly'])
  })

  test('bounds the bytes of all accounts, and of each to a quarter', () => {
    const { events, enter } = createQueue({ maximumQueuedBytes: 100 })
    enter('a')
    for (const name of ['b', 'c', 'd', 'e', 'f']) enter(name, { bytes: 25 })
    enter('b-2', { clientAccount: 'b', bytes: 1 })
    expect(events).toEqual(['a', 'f lessUrgent', 'b-2 lessUrgent'])
  })

  test('charges an account for what it has running elsewhere in the fleet', () => {
    const { api, events, enter, finishOldest } = createQueue()
    api.mergeUsage('node-2', [{ service: 'desk', clientAccount: 'busy', tokens: 50 }])
    enter('a')
    enter('busy')
    enter('calm')
    finishOldest()
    expect(events).toEqual(['a', 'calm'])
  })

  // A peer that died or is cut off no longer tells what its accounts use: what it told last must not count against them for good.
  test('forgets what a silent peer has told', () => {
    const { clock, api, events, enter, finishOldest } = createQueue()
    api.mergeUsage('node-2', [{ service: 'desk', clientAccount: 'busy', tokens: 50 }])
    clock.advance(20_000)
    enter('a')
    enter('busy', { deadlineAt: clock.now() + 10_000 })
    enter('calm', { deadlineAt: clock.now() + 10_000 })
    finishOldest()
    expect(events).toEqual(['a', 'busy'])
  })
})
