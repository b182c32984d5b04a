import { describe, expect, it } from 'vitest'
import { createHoldTimes } from './createHoldTimes.js'

const SERVICE = 'plain'

const recordAll = (durations: readonly number[]) => {
  const holdTimes = createHoldTimes()
  for (const duration of durations) holdTimes.record(SERVICE, duration)
  return holdTimes
}

describe('createHoldTimes', () => {
  it('assumes a time before a request has ended', () => expect(createHoldTimes().readRemaining(SERVICE)).toBe(300))

  it('expects half of a constant time', () => expect(recordAll([40, 40, 40]).readRemaining(SERVICE)).toBe(20))

  it('counts long requests more, since they are in flight for longer', () =>
    expect(recordAll(Array.from({ length: 400 }, (_, index) => index % 2 === 0 ? 10 : 1_000)).readRemaining(SERVICE)).toBeGreaterThan(450))

  it('follows a change', () => expect(recordAll([...Array.from({ length: 50 }, () => 40), ...Array.from({ length: 100 }, () => 400)]).readRemaining(SERVICE)).toBeGreaterThan(190))
})
