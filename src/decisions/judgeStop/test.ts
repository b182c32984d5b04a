import { describe, expect, test } from 'vitest'
import { judgeStop } from './index.js'
import type { StopQuestion } from './index.js'

const createQuestion = (changes: Partial<StopQuestion> = {}): StopQuestion =>
  ({ leftMs: 5_000, limitMs: 12_000, arrivedAfterMs: 2_000, lateShare: 0, estimatedMs: 9_000, ...changes })

describe('judgeStop', () => {
  // Streams of 90 used tokens were refused for the 954 that they might have had, and met another stopping node.
  test('takes a stream whose like nearly always ended in time, whatever its tokens say', () =>
    expect(judgeStop(createQuestion())).toBe(true))

  test('refuses a stream whose like often took longer', () =>
    expect(judgeStop(createQuestion({ lateShare: 0.2, estimatedMs: 1_000 }))).toBe(false))

  test.each([[4_000, true], [9_000, false]])('goes by an estimate of %i ms while too few streams are known', (estimatedMs, isTaken) =>
    expect(judgeStop(createQuestion({ lateShare: undefined, estimatedMs }))).toBe(isTaken))

  // A reply taken 3.5 to 4.3 s after the signal outlasted every estimate and was cut by the node's end.
  test.each([3_500, 4_250, 6_500])('refuses %i ms after the begin what its deadline does not end in time, however short its like were', (arrivedAfterMs) =>
    expect(judgeStop(createQuestion({ leftMs: 7_500 - arrivedAfterMs, arrivedAfterMs, lateShare: 0, estimatedMs: 500 }))).toBe(false))

  test('takes to the last what its deadline ends in time', () =>
    expect(judgeStop(createQuestion({ leftMs: 1_000, limitMs: 1_000, arrivedAfterMs: 6_500 }))).toBe(true))
})
