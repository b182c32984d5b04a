import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { limitNesting } from './index.js'

const MAXIMUM_DEPTH = 32
const SEED = 76

const limit = (text: string): string => Buffer.from(limitNesting(Buffer.from(text))).toString()

const nest = (depth: number, inner = ''): string => `${'['.repeat(depth)}${inner}${']'.repeat(depth)}`

const objects = (depth: number): string => `${'{"a":'.repeat(depth)}0${'}'.repeat(depth)}`

describe('limitNesting', () => {
  test('leaves any value of usual depth as it is', () => {
    fc.assert(fc.property(fc.jsonValue({ maxDepth: 6 }), (value) => {
      const text = Buffer.from(JSON.stringify(value))
      expect(limitNesting(text)).toBe(text)
    }), { seed: SEED })
  })

  test('keeps the greatest depth, and replaces what is beyond it', () => {
    expect(limit(nest(MAXIMUM_DEPTH))).toBe(nest(MAXIMUM_DEPTH))
    expect(limit(nest(MAXIMUM_DEPTH + 1))).toBe(nest(MAXIMUM_DEPTH, 'null'))
    expect(JSON.parse(limit(objects(3_000_000)))).toEqual(JSON.parse(objects(MAXIMUM_DEPTH).replace('0', 'null')))
  })

  test('keeps what stands beside it', () => {
    const text = `{"one":${nest(100_000)},"two":[${nest(100, '7,8')},2],"three":"["}`
    expect(JSON.parse(limit(text))).toEqual({ one: JSON.parse(nest(MAXIMUM_DEPTH - 1, 'null')), two: [JSON.parse(nest(MAXIMUM_DEPTH - 2, 'null')), 2], three: '[' })
  })

  test('takes no bracket in a text for nesting', () => {
    for (const inner of ['['.repeat(50), '"['.repeat(50), '\\'.repeat(3) + '"' + '['.repeat(50), '\\']) {
      const text = JSON.stringify([inner, { [inner]: inner }])
      expect(limit(text)).toBe(text)
    }
  })

  test('returns any bytes that are no JSON', () => {
    fc.assert(fc.property(fc.oneof(fc.uint8Array(), fc.string().map((text) => Buffer.from(text))), (bytes) => {
      expect(limitNesting(bytes).length).toBeLessThanOrEqual(bytes.length + 4)
    }), { seed: SEED })
    for (const text of ['[', ']]]', '"', '"\\', '['.repeat(1_000_000), ']'.repeat(50) + '['.repeat(100)]) expect(() => limit(text)).not.toThrow()
  })
})
