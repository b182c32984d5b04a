import { describe, expect, test } from 'vitest'
import { createStreamDurations } from './createStreamDurations.js'

const ROUTE = 'replies'

/** Streams begun a second apart, each over after its duration; `undefined` runs on. */
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
  test('knows nothing of a route with few streams', () => {
    const { record, now } = createDurations(repeat(10, 500))
    expect(record.shareOver(ROUTE, 1_000, now)).toBeUndefined()
    expect(record.shareOver('others', 1_000, now)).toBeUndefined()
  })

  test('gives the share of streams that took longer', () => {
    const { record, now } = createDurations([...repeat(30, 500), ...repeat(10, 4_000)])
    expect(record.shareOver(ROUTE, 1_000, now)).toBe(0.25)
    expect(record.shareOver(ROUTE, 5_000, now)).toBe(0)
  })

  // Early in the life of a node only short streams have ended, and a long one was taken for another of these.
  test('counts streams that still run', () => {
    const { record, now } = createDurations([...repeat(20, 500), ...repeat(20, undefined)])
    expect(record.shareOver(ROUTE, 2_000, now)).toBeCloseTo(19 / 39)
  })

  // A node that was stopped some seconds after its start knew no stream begun long enough ago, and refused nearly all.
  test('goes by a shorter time on a young node, and says rather too much', () => {
    const ended = createDurations(repeat(30, 500))
    expect(ended.record.shareOver(ROUTE, 25_000, ended.now)).toBe(0)
    const running = createDurations([...repeat(15, 500), ...repeat(15, undefined)])
    expect(running.record.shareOver(ROUTE, 25_000, running.now)).toBe(5 / 20)
  })

  test('leaves out what failed', () => {
    const { record, now } = createDurations(repeat(30, 500))
    const failed = record.begin(ROUTE, now - 20_000)
    failed.forget()
    expect(record.shareOver(ROUTE, 1_000, now)).toBe(0)
  })

  test('forgets streams of a minute ago, and the oldest of very many', () => {
    const { record } = createDurations(repeat(30, 500))
    expect(record.shareOver(ROUTE, 1_000, 100_000)).toBeUndefined()
    const many = createDurations([...repeat(10, 5_000), ...repeat(50, 500)])
    for (let index = 0; index < 256; index++) many.record.begin(ROUTE, many.now).end(many.now + 100)
    expect(many.record.shareOver(ROUTE, 1_000, many.now + 1_000)).toBe(0)
  })
})
