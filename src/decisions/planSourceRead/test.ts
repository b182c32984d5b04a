import { describe, expect, test } from 'vitest'
import { planSourceRead } from './index.js'

const INPUT = { isReader: false, ageMs: 400, relianceMs: 1_500, failedReads: 1, readerRetryMs: 250 }

describe('planSourceRead', () => {
  test('lets a node rely on its readers while their data is up to date', () => {
    expect(planSourceRead(INPUT)).toMatchObject({ isRelyingOnReaders: true, recheckAfterMs: 1_100 })
  })

  test('lets a node read the source itself once the data is stale', () => {
    expect(planSourceRead({ ...INPUT, ageMs: 1_500 }).isRelyingOnReaders).toBe(false)
    expect(planSourceRead({ ...INPUT, ageMs: Infinity }).isRelyingOnReaders).toBe(false)
  })

  test('never lets a reader rely on others', () => expect(planSourceRead({ ...INPUT, isReader: true }).isRelyingOnReaders).toBe(false))

  test('waits at least 100 ms between two checks', () => expect(planSourceRead({ ...INPUT, ageMs: 1_490 }).recheckAfterMs).toBe(100))

  test('lets readers retry sooner than other nodes', () => {
    expect(planSourceRead({ ...INPUT, isReader: true }).retryAfterMs).toBe(250)
    expect(planSourceRead(INPUT).retryAfterMs).toBe(2_000)
  })

  // A read on a connection that had gone silent was followed by a pause, as if the source were struggling.
  test('lets a node repeat the first failed read at once if its connection may be at fault, and no further one', () => {
    expect(planSourceRead({ ...INPUT, failedReads: 0, isConnectionSuspect: true }).retryAfterMs).toBe(0)
    expect(planSourceRead({ ...INPUT, isReader: true, isConnectionSuspect: true }).retryAfterMs).toBe(250)
    expect(planSourceRead({ ...INPUT, isConnectionSuspect: true }).retryAfterMs).toBe(2_000)
  })

  test('lets every node repeat the first read that fails soon', () => expect(planSourceRead({ ...INPUT, failedReads: 0 }).retryAfterMs).toBe(250))
})
