import { describe, expect, test } from 'vitest'
import { isMoveDue } from './index.js'
import type { Silence } from './index.js'

const createSilence = (changes: Partial<Silence> = {}): Silence =>
  ({ hasBegun: false, waitedMs: 0, instanceSilentMs: 0, goalMs: 800, pauseGoalMs: 300, usualMs: 60, ...changes })

describe('isMoveDue', () => {
  test('waits for a lost packet to be sent again', () => expect(isMoveDue(createSilence({ waitedMs: 350, instanceSilentMs: 350 }))).toBe(false))
  test('moves soon from a server that is silent to all', () => expect(isMoveDue(createSilence({ waitedMs: 420, instanceSilentMs: 420 }))).toBe(true))
  test('waits longer at a server that answers others', () => expect(isMoveDue(createSilence({ waitedMs: 420, instanceSilentMs: 5 }))).toBe(false))
  test('moves from it well after the goal', () => expect(isMoveDue(createSilence({ waitedMs: 1_250, instanceSilentMs: 5 }))).toBe(true))
  test('is patient where answers usually take long', () => expect(isMoveDue(createSilence({ waitedMs: 800, instanceSilentMs: 800, usualMs: 400 }))).toBe(false))
  test('leaves a stream that pauses alone for a while', () => expect(isMoveDue(createSilence({ hasBegun: true, waitedMs: 1_000, instanceSilentMs: 10 }))).toBe(false))
  test('moves a stream before its caller leaves', () => expect(isMoveDue(createSilence({ hasBegun: true, waitedMs: 1_600, instanceSilentMs: 10 }))).toBe(true))
  test('moves a stream sooner from a silent server', () => expect(isMoveDue(createSilence({ hasBegun: true, waitedMs: 850, instanceSilentMs: 850 }))).toBe(true))
})
