import { describe, expect, test } from 'vitest'
import { createWarmUpDeadlines } from './createWarmUpDeadlines.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import type { BackendInstance } from '../../../types/index.js'

const createServer = (warmUpMs: number, incarnation = 1): BackendInstance =>
  ({ id: 'engine-1', service: 'engines', address: { host: 'engine-1', port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation, warmUpMs })

const start = () => {
  const clock = createManualClock()
  return { clock, deadlines: createWarmUpDeadlines(clock) }
}

describe('createWarmUpDeadlines', () => {
  test('counts down from when the entry was received', () => {
    const { clock, deadlines } = start()
    deadlines.record(createServer(3_000), 'change')
    clock.advance(1_000)
    expect(deadlines.remainingMs(createServer(0))).toBe(2_000)
  })
  test('warms up again after a restart of the server', () => {
    const { clock, deadlines } = start()
    deadlines.record(createServer(3_000), 'change')
    clock.advance(3_000)
    deadlines.record(createServer(3_000, 2), 'list')
    expect([deadlines.remainingMs(createServer(0)), deadlines.remainingMs(createServer(0, 2))]).toEqual([0, 3_000])
  })
  // A list that is read again repeats old entries: all servers would count as cold after each outage of the store.
  test('does not restart with a list that repeats an entry', () => {
    const { clock, deadlines } = start()
    deadlines.record(createServer(3_000), 'change')
    clock.advance(2_500)
    expect(deadlines.record(createServer(3_000), 'list')).toBe(false)
    expect(deadlines.remainingMs(createServer(0))).toBe(500)
  })
  // A server whose cache turns cold later writes the same entry as after its start.
  test('restarts with a change to the same entry', () => {
    const { clock, deadlines } = start()
    deadlines.record(createServer(3_000), 'change')
    clock.advance(10_000)
    expect(deadlines.record(createServer(3_000), 'change')).toBe(true)
    expect(deadlines.remainingMs(createServer(0))).toBe(3_000)
  })
  // Otherwise a stale copy of an entry that arrives late would end the warm-up too soon.
  test('is not shortened by an entry with less warm-up', () => {
    const { deadlines } = start()
    deadlines.record(createServer(3_000), 'change')
    deadlines.record(createServer(0), 'peer')
    expect(deadlines.remainingMs(createServer(0))).toBe(3_000)
  })
  test('treats an entry from a peer that is some milliseconds late as the same warm-up', () => {
    const { clock, deadlines } = start()
    deadlines.record(createServer(3_000), 'change')
    clock.advance(100)
    expect(deadlines.record(createServer(3_000), 'peer')).toBe(false)
  })
})
