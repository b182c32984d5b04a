import { describe, expect, test } from 'vitest'
import { isMoveDue } from './index.js'
import type { Silence } from './index.js'

const createSilence = (changes: Partial<Silence> = {}): Silence =>
  ({ hasBegun: false, waitedMs: 0, instanceSilentMs: 0, goalMs: 800, pauseGoalMs: 300, usualMs: 60, ...changes })

describe('isMoveDue', () => {
  test('waits for a lost packet to be retransmitted', () => expect(isMoveDue(createSilence({ waitedMs: 350, instanceSilentMs: 350 }))).toBe(false))
  test('moves soon from a server that responds to no request', () => expect(isMoveDue(createSilence({ waitedMs: 420, instanceSilentMs: 420 }))).toBe(true))
  test('waits longer when the server responds to other requests', () => expect(isMoveDue(createSilence({ waitedMs: 420, instanceSilentMs: 5 }))).toBe(false))
  test('moves from such a server well after the target', () => expect(isMoveDue(createSilence({ waitedMs: 1_250, instanceSilentMs: 5 }))).toBe(true))
  test('waits longer where answers usually take longer', () => expect(isMoveDue(createSilence({ waitedMs: 800, instanceSilentMs: 800, usualMs: 400 }))).toBe(false))
  test('does not move a stream during a short pause', () => expect(isMoveDue(createSilence({ hasBegun: true, waitedMs: 1_000, instanceSilentMs: 10 }))).toBe(false))
  test('moves a stream before its caller abandons it', () => expect(isMoveDue(createSilence({ hasBegun: true, waitedMs: 1_600, instanceSilentMs: 10 }))).toBe(true))
  test('moves a stream sooner from a server that responds to no request', () => expect(isMoveDue(createSilence({ hasBegun: true, waitedMs: 850, instanceSilentMs: 850 }))).toBe(true))
})
