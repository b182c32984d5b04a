import { expect, test } from 'vitest'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import { createExceptionHandler } from './createExceptionHandler.js'

const start = (readConfirmedAgeMs: () => number, next = 0) => {
  const clock = createManualClock()
  const messages: string[] = []
  const log = (message: string): void => { messages.push(message) }
  let stops = 0
  const handle = createExceptionHandler({ clock, random: { next: () => next }, logger: { error: log, warn: log }, metrics: { count: () => {} }, readOpen: () => 0, readConfirmedAgeMs, onStopDue: () => { stops += 1 } })
  return { clock, messages, handle, countStops: () => stops }
}

const EXCEPTION = { cause: 'uncaughtException', error: new Error('x') }

test('stops once, minutes after the first of many exceptions', () => {
  const { clock, messages, handle, countStops } = start(() => 0)
  for (let index = 0; index < 100; index++) handle(EXCEPTION)
  expect(messages).toHaveLength(100)
  clock.advance(119_000)
  expect(countStops()).toBe(0)
  clock.advance(1_000_000)
  expect(countStops()).toBe(1)
})

// Guards against a fleet whose nodes all stop at the same time after the same input.
test('draws the time of the stop from the whole range', () => {
  const { clock, handle, countStops } = start(() => 0, 0.999)
  handle(EXCEPTION)
  clock.advance(590_000)
  expect(countStops()).toBe(0)
  clock.advance(10_000)
  expect(countStops()).toBe(1)
})

// Guards against a stop during an outage of the store, after which nobody has a configuration.
test('postpones the stop while the configuration is not confirmed, three times at most', () => {
  const { clock, messages, handle, countStops } = start(() => Infinity)
  handle(EXCEPTION)
  clock.advance(479_000)
  expect(countStops()).toBe(0)
  expect(messages.filter((message) => message === 'stop postponed')).toHaveLength(3)
  clock.advance(2_000)
  expect(countStops()).toBe(1)
})
