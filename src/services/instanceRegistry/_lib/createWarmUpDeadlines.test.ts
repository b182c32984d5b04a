import { describe, expect, test } from 'vitest'
import { createWarmUpDeadlines } from './createWarmUpDeadlines.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import type { BackendInstance } from '../../../types/index.js'

const createServer = (warmUpMs: number, incarnation = 1): BackendInstance =>
  ({ id: 'engine-1', service: 'engines', address: { host: 'engine-1', port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation, warmUpMs })

const start = () => {
  const clock = createManualClock()
  return { clock, warmUps: createWarmUpDeadlines(clock) }
}

describe('createWarmUpDeadlines', () => {
  test('counts down from when the entry was received', () => {
    const { clock, warmUps } = start()
    warmUps.record(createServer(3_000), 'change')
    clock.advance(1_000)
    expect(warmUps.remainingMs(createServer(0))).toBe(2_000)
  })
  test('warms up again after a restart of the server', () => {
    const { clock, warmUps } = start()
    warmUps.record(createServer(3_000), 'change')
    clock.advance(3_000)
    warmUps.record(createServer(3_000, 2), 'list')
    expect([warmUps.remainingMs(createServer(0)), warmUps.remainingMs(createServer(0, 2))]).toEqual([0, 3_000])
  })
  // A list that is read again repeats old entries: all servers would count as cold after each outage of the store.
  test('does not restart with a list that repeats an entry', () => {
    const { clock, warmUps } = start()
    warmUps.record(createServer(3_000), 'change')
    clock.advance(2_500)
    expect(warmUps.record(createServer(3_000), 'list')).toBe(false)
    expect(warmUps.remainingMs(createServer(0))).toBe(500)
  })
  // A server whose cache turns cold later writes the same entry as after its start.
  test('restarts with a change to the same entry', () => {
    const { clock, warmUps } = start()
    warmUps.record(createServer(3_000), 'change')
    clock.advance(10_000)
    expect(warmUps.record(createServer(3_000), 'change')).toBe(true)
    expect(warmUps.remainingMs(createServer(0))).toBe(3_000)
  })
  // Otherwise a stale copy of an entry that arrives late would end the warm-up too soon.
  test('is not shortened by an entry with less warm-up', () => {
    const { warmUps } = start()
    warmUps.record(createServer(3_000), 'change')
    warmUps.record(createServer(0), 'peer')
    expect(warmUps.remainingMs(createServer(0))).toBe(3_000)
  })
  test('treats an entry from a peer that is some milliseconds late as the same warm-up', () => {
    const { clock, warmUps } = start()
    warmUps.record(createServer(3_000), 'change')
    clock.advance(100)
    expect(warmUps.record(createServer(3_000), 'peer')).toBe(false)
  })
})
