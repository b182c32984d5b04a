import { describe, expect, test } from 'vitest'
import { computeWaitLimit } from './index.js'

const INPUT = { retryPolicy: 'safe', latencyTargetMs: 200, receivedAt: 1_000, deadlineAt: 2_000, workMs: 100 } as const

describe('computeWaitLimit', () => {
  test('lets a request wait for half of the time after its target', () => expect(computeWaitLimit(INPUT)).toBe(1_600))
  test('leaves the time that the work takes', () => expect(computeWaitLimit({ ...INPUT, workMs: 700 })).toBe(1_300))
  test('lets a repeat that came too early wait until its target only', () => expect(computeWaitLimit({ ...INPUT, isRepeat: true })).toBe(1_200))
  test('sends an unsafe request early enough for a slow answer', () => expect(computeWaitLimit({ ...INPUT, retryPolicy: 'unsafe', workMs: 300 })).toBe(1_100))
})
