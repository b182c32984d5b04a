import { describe, expect, test } from 'vitest'
import { isFailoverDue } from './index.js'
import type { FailoverInput } from './index.js'

const createInput = (changes: Partial<FailoverInput> = {}): FailoverInput =>
  ({ hasBegun: false, waitedMs: 0, instanceWaitedMs: 0, firstByteTargetMs: 800, pauseTargetMs: 300, usualFirstByteMs: 60, ...changes })

describe('isFailoverDue', () => {
  test('waits for a lost packet to be retransmitted', () => expect(isFailoverDue(createInput({ waitedMs: 350, instanceWaitedMs: 350 }))).toBe(false))
  test('moves soon from a server that responds to no request', () => expect(isFailoverDue(createInput({ waitedMs: 420, instanceWaitedMs: 420 }))).toBe(true))
  test('waits longer when the server responds to other requests', () => expect(isFailoverDue(createInput({ waitedMs: 420, instanceWaitedMs: 5 }))).toBe(false))
  test('moves from such a server well after the target', () => expect(isFailoverDue(createInput({ waitedMs: 1_250, instanceWaitedMs: 5 }))).toBe(true))
  test('waits longer where answers usually take longer', () => expect(isFailoverDue(createInput({ waitedMs: 800, instanceWaitedMs: 800, usualFirstByteMs: 400 }))).toBe(false))
  // Guards against prompts that are read twice because the engine that reads them answers nobody meanwhile.
  test('waits for an engine that reads until the target has passed', () => {
    expect(isFailoverDue(createInput({ isModelEngine: true, waitedMs: 790, instanceWaitedMs: 790 }))).toBe(false)
    expect(isFailoverDue(createInput({ isModelEngine: true, waitedMs: 810, instanceWaitedMs: 810 }))).toBe(true)
  })
  test('does not move a stream during a short pause', () => expect(isFailoverDue(createInput({ hasBegun: true, waitedMs: 1_000, instanceWaitedMs: 10 }))).toBe(false))
  test('moves a stream before its caller abandons it', () => expect(isFailoverDue(createInput({ hasBegun: true, waitedMs: 1_600, instanceWaitedMs: 10 }))).toBe(true))
  test('moves a stream sooner from a server that responds to no request', () => expect(isFailoverDue(createInput({ hasBegun: true, waitedMs: 1_350, instanceWaitedMs: 1_350 }))).toBe(true))
  // Guards against ending an answer at a sound server that is silent for about a second.
  test.each([0, 300])('does not move a stream because of a second of silence, with a pause target of %i ms', (pauseTargetMs) =>
    expect(isFailoverDue(createInput({ hasBegun: true, waitedMs: 1_200, instanceWaitedMs: 1_200, pauseTargetMs }))).toBe(false))
})
