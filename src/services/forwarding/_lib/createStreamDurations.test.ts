import { describe, expect, test } from 'vitest'
import { createStreamDurations } from './createStreamDurations.js'

const ROUTE = 'replies'

/** Records streams that begin a second apart and take the given durations; `undefined` still runs. */
const createDurations = (durations: readonly (number | undefined)[]) => {
  const record = createStreamDurations()
  durations.forEach((duration, index) => {
    const beganAt = index * 1_000
    const stream = record.begin(ROUTE, beganAt)
    if (duration !== undefined) stream.end(beganAt + duration)
  })
  return { record, now: durations.length * 1_000 }
}

const repeat = <Value>(count: number, value: Value): readonly Value[] => Array.from({ length: count }, () => value)

describe('createStreamDurations', () => {
  test('returns undefined for a route with few streams', () => {
    const { record, now } = createDurations(repeat(10, 500))
    expect(record.shareOver(ROUTE, 1_000, now)).toBeUndefined()
    expect(record.shareOver('others', 1_000, now)).toBeUndefined()
  })

  test('returns the share of streams that took longer', () => {
    const { record, now } = createDurations([...repeat(30, 500), ...repeat(10, 4_000)])
    expect(record.shareOver(ROUTE, 1_000, now)).toBe(0.25)
    expect(record.shareOver(ROUTE, 5_000, now)).toBe(0)
  })

  // Soon after a node's start only short streams have ended. Without those that still run, long streams would be expected to be short too.
  test('counts streams that still run', () => {
    const { record, now } = createDurations([...repeat(20, 500), ...repeat(20, undefined)])
    expect(record.shareOver(ROUTE, 2_000, now)).toBeCloseTo(19 / 39)
  })

  // Otherwise a node that is shut down some seconds after its start, without a stream that began long enough ago, would refuse nearly all requests.
  test('uses a shorter time on a recently started node, and errs on the high side', () => {
    const ended = createDurations(repeat(30, 500))
    expect(ended.record.shareOver(ROUTE, 25_000, ended.now)).toBe(0)
    const running = createDurations([...repeat(15, 500), ...repeat(15, undefined)])
    expect(running.record.shareOver(ROUTE, 25_000, running.now)).toBe(5 / 20)
  })

  test('ignores failed streams', () => {
    const { record, now } = createDurations(repeat(30, 500))
    const failed = record.begin(ROUTE, now - 20_000)
    failed.forget()
    expect(record.shareOver(ROUTE, 1_000, now)).toBe(0)
  })

  test('drops streams older than a minute, and the oldest beyond the maximum number', () => {
    const { record } = createDurations(repeat(30, 500))
    expect(record.shareOver(ROUTE, 1_000, 100_000)).toBeUndefined()
    const many = createDurations([...repeat(10, 5_000), ...repeat(50, 500)])
    for (let index = 0; index < 256; index++) many.record.begin(ROUTE, many.now).end(many.now + 100)
    expect(many.record.shareOver(ROUTE, 1_000, many.now + 1_000)).toBe(0)
  })
})
