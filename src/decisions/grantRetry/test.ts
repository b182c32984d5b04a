import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { emptyRetryWindow, grantRetry } from './index.js'
import { recordSend } from '../recordSend/index.js'
import type { RetryWindow } from './index.js'

const limits = { ratio: 0.2, extra: 50, windowMs: 10_000 }

const sendRepeatedly = (kind: 'first' | 'ratio' | 'constant', count: number, now: number, budget: RetryWindow = emptyRetryWindow): RetryWindow =>
  Array.from({ length: count }).reduce<RetryWindow>((before) => recordSend(before, kind, limits, now), budget)

/** Retries that are granted at once. */
const countGranted = (budget: RetryWindow, now: number): number => {
  const source = grantRetry(budget, limits, 0, now)
  return source === undefined ? 0 : 1 + countGranted(recordSend(budget, source, limits, now), now)
}

describe('grantRetry', () => {
  test('grants a retry from the constant when nothing has been sent', () => expect(grantRetry(emptyRetryWindow, limits, 10, 0)).toBe('constant'))

  test('grants no more than the share of the constant', () => {
    const spent = sendRepeatedly('constant', 8, 0)
    expect(grantRetry(spent, limits, limits.extra, 0)).toBe('constant')
    expect(grantRetry(spent, limits, limits.extra / 6, 0)).toBeUndefined()
  })

  test('ignores what was sent before the window', () => {
    const spent = sendRepeatedly('constant', 50, 0)
    expect(grantRetry(spent, limits, limits.extra, 9_999)).toBeUndefined()
    expect(grantRetry(spent, limits, limits.extra, 10_001)).toBe('constant')
  })

  test('grants retries that requests have paid for, whatever the constant', () => expect(countGranted(sendRepeatedly('first', 100, 0), 0)).toBe(17))

  // A process that spends the credit of ten seconds and ends is followed by one that earns its own in the same window.
  test('saves up no credit of requests that are long past', () => {
    const paid = sendRepeatedly('first', 10, 5_000, sendRepeatedly('first', 100, 0))
    expect(countGranted(paid, 5_000)).toBe(1)
  })

  test('grants a node with few requests a retry as soon as they have paid for it', () => {
    const paid = [0, 1, 2, 3, 4, 5].reduce<RetryWindow>((budget, second) => recordSend(budget, 'first', limits, second * 1_600), emptyRetryWindow)
    expect(countGranted(paid, 8_000)).toBe(1)
  })

  // When a service fails for all nodes, their retries together must not exceed the budget of the fleet.
  test('keeps the fleet within its budget in every window for any sequence of requests', () => {
    const send = fc.record({ node: fc.integer({ min: 0, max: 5 }), gapMs: fc.integer({ min: 0, max: 400 }), wantedRetries: fc.integer({ min: 0, max: 3 }) })
    fc.assert(fc.property(fc.array(send, { maxLength: 300 }), (sends) => {
      const budgets = new Map<number, RetryWindow>()
      const retries: number[] = []
      const requests: number[] = []
      let now = 0
      for (const { node, gapMs, wantedRetries } of sends) {
        now += gapMs
        let budget = recordSend(budgets.get(node) ?? emptyRetryWindow, 'first', limits, now)
        requests.push(now)
        for (let wanted = 0; wanted < wantedRetries; wanted++) {
          const source = grantRetry(budget, limits, limits.extra / 6, now)
          if (source === undefined) break
          budget = recordSend(budget, source, limits, now)
          retries.push(now)
        }
        budgets.set(node, budget)
      }
      for (const end of retries) {
        const inWindow = (time: number): boolean => time > end - limits.windowMs && time <= end
        expect(retries.filter(inWindow).length).toBeLessThanOrEqual(limits.ratio * requests.filter(inWindow).length + limits.extra)
      }
    }), { seed: 7, numRuns: 60 })
  })
})
