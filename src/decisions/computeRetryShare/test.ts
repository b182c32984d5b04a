import { describe, expect, test } from 'vitest'
import { computeRetryShare } from './index.js'

const limits = { ratio: 0.2, extra: 48, windowMs: 10_000 }

describe('computeRetryShare', () => {
  test('divides the constant equally among the nodes', () => expect(computeRetryShare(limits, { runningMs: Infinity, nodes: 6 })).toBe(8))

  // The process before this one may have used the share in the same window.
  test('gives a process nothing in its first window', () => {
    expect(computeRetryShare(limits, { runningMs: 9_999, nodes: 6 })).toBe(0)
    expect(computeRetryShare(limits, { runningMs: 10_000, nodes: 6 })).toBe(8)
  })

  // A node that does not know the size of the fleet would take the share of the others.
  test('gives nothing while the number of nodes is unknown', () => expect(computeRetryShare(limits, { runningMs: Infinity, nodes: undefined })).toBe(0))
})
