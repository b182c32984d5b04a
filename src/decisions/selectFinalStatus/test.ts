import { describe, expect, test } from 'vitest'
import { promisesNotRun, selectFinalStatus } from './index.js'

const PROMISES = [408, 421, 429, 503]
const OTHERS = [200, 400, 404, 409, 500, 502, 504]

describe('promisesNotRun', () => {
  test.each(PROMISES)('holds for %i', (status) => expect(promisesNotRun(status)).toBe(true))
  test.each(OTHERS)('does not hold for %i', (status) => expect(promisesNotRun(status)).toBe(false))
})

describe('selectFinalStatus', () => {
  test.each(PROMISES)('keeps %i only for a request that did not run', (status) => {
    expect([selectFinalStatus(status, false), selectFinalStatus(status, true)]).toEqual([status, 502])
  })

  test.each(OTHERS)('keeps %i, which promises nothing', (status) => {
    expect([selectFinalStatus(status, false), selectFinalStatus(status, true)]).toEqual([status, status])
  })

  test('replaces a promise by the given status', () => {
    expect(selectFinalStatus(503, true, { statusIfUnknown: 504 })).toBe(504)
  })
})
