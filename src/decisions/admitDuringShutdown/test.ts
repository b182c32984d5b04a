import { describe, expect, test } from 'vitest'
import { admitDuringShutdown } from './index.js'
import type { ShutdownAdmissionInput } from './index.js'

const createInput = (changes: Partial<ShutdownAdmissionInput> = {}): ShutdownAdmissionInput =>
  ({ untilExitMs: 5_000, untilDeadlineMs: 12_000, arrivedAfterMs: 2_000, lateShare: 0, estimatedDurationMs: 9_000, ...changes })

describe('admitDuringShutdown', () => {
  // Streams that used 90 tokens must not be rejected because of a limit of 954 tokens:
  // their callers would reach another node that is shutting down.
  test('accepts a stream on a route whose streams nearly always end in time, despite a high token limit', () =>
    expect(admitDuringShutdown(createInput())).toBe(true))

  test('rejects a stream on a route whose streams often take longer', () =>
    expect(admitDuringShutdown(createInput({ lateShare: 0.2, estimatedDurationMs: 1_000 }))).toBe(false))

  test.each([[4_000, true], [9_000, false]])('uses the estimate of %i ms while too few streams are known', (estimatedMs, isAccepted) =>
    expect(admitDuringShutdown(createInput({ lateShare: undefined, estimatedDurationMs: estimatedMs }))).toBe(isAccepted))

  // An answer accepted 3.5 to 4.3 s after the signal can outlast every estimate and is cut when the node exits.
  test.each([3_500, 4_250, 6_500])('rejects a request %i ms after the start of the shutdown if its deadline is too late, however short similar requests were', (arrivedAfterMs) =>
    expect(admitDuringShutdown(createInput({ untilExitMs: 7_500 - arrivedAfterMs, arrivedAfterMs, lateShare: 0, estimatedDurationMs: 500 }))).toBe(false))

  test('accepts a request with an early enough deadline until the end', () =>
    expect(admitDuringShutdown(createInput({ untilExitMs: 1_000, untilDeadlineMs: 1_000, arrivedAfterMs: 6_500 }))).toBe(true))
})
