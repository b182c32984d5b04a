import { expect, test } from 'vitest'
import { describeException } from './index.js'

test('names the place that threw', () => {
  const described = describeException(new TypeError('no such thing'))
  expect(described.reason).toBe('TypeError: no such thing')
  expect(described.part).toContain('describeException/test.ts')
})

test('bounds the length', () => {
  const { reason, stack } = describeException(new Error('x'.repeat(100_000)))
  expect(reason.length + (stack?.length ?? 0)).toBeLessThan(3_000)
})

// An exception in the handler of exceptions ends the process.
test('describes values that throw when they are read', () => {
  const hostile = new Error('x')
  Object.defineProperty(hostile, 'message', { get: () => { throw new Error('hostile') } })
  for (const value of [null, undefined, Object.create(null), Symbol('s'), hostile]) expect(typeof describeException(value).reason).toBe('string')
})
