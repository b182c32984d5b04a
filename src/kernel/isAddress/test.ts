import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { isAddress } from './index.js'

describe('isAddress', () => {
  test('accepts an address', () => expect(isAddress({ host: '10.1.0.40', port: 8227 })).toBe(true))
  test.each([[{ host: '10.1.0.40', port: 82_233 }], [{ host: '10.1.0.40', port: 0 }], [{ host: '10.1.0.40', port: 1.5 }], [{ host: '10.1.0.40', port: '8227' }], [{ host: 'node-1', port: 1 }], [{ host: '10.1.0.40' }], [undefined], [null]])('refuses %j', (value) => {
    expect(isAddress(value)).toBe(false)
  })
  test('refuses any other value', () => {
    fc.assert(fc.property(fc.anything(), (value) => { expect(isAddress(value)).toBe(false) }), { seed: 3 })
  })
})
