import { describe, expect, test } from 'vitest'
import { advanceInstanceHealth, initialInstanceHealth } from './index.js'
import type { InstanceHealthEvent, InstanceHealthState } from './index.js'

const apply = (events: readonly (readonly [InstanceHealthEvent, number])[]): InstanceHealthState =>
  events.reduce((health, [event, now]) => advanceInstanceHealth(health, event, now), initialInstanceHealth)

describe('advanceInstanceHealth', () => {
  test('suspends an unreachable server', () => expect(apply([[{ kind: 'unreachable' }, 0]])).toMatchObject({ suspendedUntil: 400, needsProbe: true }))
  test('counts concurrent timeouts of several requests as one failure', () => expect(apply([[{ kind: 'unreachable' }, 0], [{ kind: 'unreachable' }, 10]]).consecutiveFailures).toBe(1))
  test('doubles the suspension with each failure up to the maximum', () => {
    const events = Array.from({ length: 10 }, (_, index): readonly [InstanceHealthEvent, number] => [{ kind: 'unreachable' }, index * 10_000])
    expect(apply(events).suspendedUntil).toBe(90_000 + 2_000)
  })
  test('ends the suspension when a connection succeeds after its time', () => expect(apply([[{ kind: 'unreachable' }, 0], [{ kind: 'reached' }, 500]]).needsProbe).toBe(false))
  test('ignores a connection that succeeds during the suspension', () => expect(apply([[{ kind: 'unreachable' }, 0], [{ kind: 'reached' }, 100]]).needsProbe).toBe(true))
  test('ends the suspension at an answer', () => expect(apply([[{ kind: 'unreachable' }, 0], [{ kind: 'answered', slowness: 1 }, 100]])).toMatchObject({ needsProbe: false, suspendedUntil: -Infinity, consecutiveFailures: 0 }))
  test('tolerates two broken answers in a row', () => expect(apply([[{ kind: 'broken' }, 0], [{ kind: 'broken' }, 1]]).suspendedUntil).toBe(-Infinity))
  test('suspends a server after three broken answers in a row', () => expect(apply([[{ kind: 'broken' }, 0], [{ kind: 'broken' }, 1], [{ kind: 'broken' }, 2]]).suspendedUntil).toBeGreaterThan(2))
  test('averages the failures that the server reports', () => {
    const events = Array.from({ length: 40 }, (_, index): readonly [InstanceHealthEvent, number] => [index % 2 === 0 ? { kind: 'errored' } : { kind: 'answered', slowness: 1 }, index])
    expect(apply(events).errorShare).toBeGreaterThan(0.35)
    expect(apply(events).errorShare).toBeLessThan(0.65)
  })
  test('averages slowness', () => {
    const events = Array.from({ length: 40 }, (_, index): readonly [InstanceHealthEvent, number] => [{ kind: 'answered', slowness: 8 }, index])
    expect(apply(events).slowness).toBeGreaterThan(6)
  })
})
