import { describe, expect, it } from 'vitest'
import { formatIsoTime } from '../formatIsoTime/index.js'
import { parseIsoTime } from './index.js'

describe('parseIsoTime', () => {
  it.each([
    ['1970-01-01T01:00:00+01:00', 0],
    ['1970-01-01T00:00Z', 0],
    ['2024-02-29T00:00:00.000Z', 1709164800000]
  ])('parses %s', (text, time) => {
    expect(parseIsoTime(text)).toBe(time)
  })

  it.each(['', '2026-03-29', '2026-03-29T02:30:00', '2026-02-30T00:00:00Z', '2026-03-29 02:30+01:00', 'tomorrow'])('rejects "%s"', (text) => {
    expect(parseIsoTime(text)).toBeUndefined()
  })

  it('parses the output of formatIsoTime', () => {
    expect(parseIsoTime(formatIsoTime(1774744200123))).toBe(1774744200123)
  })
})
