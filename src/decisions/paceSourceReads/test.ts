import { describe, expect, test } from 'vitest'
import { paceSourceReads } from './index.js'

const QUESTION = { isReader: false, ageMs: 400, relianceMs: 1_500, readerRetryMs: 250 }

describe('paceSourceReads', () => {
  test('lets a node rely on its readers while their data is up to date', () => {
    expect(paceSourceReads(QUESTION)).toMatchObject({ isRelying: true, lookAfterMs: 1_100 })
  })

  test('lets a node read the source itself once the data is stale', () => {
    expect(paceSourceReads({ ...QUESTION, ageMs: 1_500 }).isRelying).toBe(false)
    expect(paceSourceReads({ ...QUESTION, ageMs: Infinity }).isRelying).toBe(false)
  })

  test('never lets a reader rely on others', () => expect(paceSourceReads({ ...QUESTION, isReader: true }).isRelying).toBe(false))

  test('waits at least 100 ms between two checks', () => expect(paceSourceReads({ ...QUESTION, ageMs: 1_490 }).lookAfterMs).toBe(100))

  test('lets readers retry sooner than other nodes', () => {
    expect(paceSourceReads({ ...QUESTION, isReader: true }).retryAfterMs).toBe(250)
    expect(paceSourceReads(QUESTION).retryAfterMs).toBe(2_000)
  })
})
