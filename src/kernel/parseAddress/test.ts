import { createServer } from 'node:net'
import fc from 'fast-check'
import { Client } from 'undici'
import { describe, expect, test } from 'vitest'
import { parseAddress } from './index.js'

const numbers = fc.oneof(fc.nat({ max: 300 }), fc.nat({ max: 99_999 }), fc.constantFrom('', '00', '01', '-1', '0x7f', '1e3', ' 1'))
const addresses = fc.oneof(
  fc.string(),
  fc.tuple(numbers, numbers, numbers, numbers, numbers).map(([a, b, c, d, port]) => `${a}.${b}.${c}.${d}:${port}`),
  fc.tuple(fc.ipV4(), fc.nat({ max: 99_999 })).map(([host, port]) => `${host}:${port}`)
)

describe('parseAddress', () => {
  test('reads an address', () => expect(parseAddress('10.1.0.40:8227')).toEqual({ host: '10.1.0.40', port: 8227 }))
  test.each(['', '10.1.0.40', '10.1.0.40:', '10.1.0.40:65536', '10.1.0.256:1', '10.1.0:1', '10.1.0.040:1', '10.1.0.40:01', 'localhost:1', '[::1]:1', ' 10.1.0.40:1', '10.1.0.40:1\n'])('reads none from %j', (text) => {
    expect(parseAddress(text)).toBeUndefined()
    expect(parseAddress(text, 0)).toBeUndefined()
  })
  test('reads port 0 only for a listener', () => {
    expect(parseAddress('10.1.0.40:0')).toBeUndefined()
    expect(parseAddress('10.1.0.40:0', 0)).toEqual({ host: '10.1.0.40', port: 0 })
  })
  // An address that a client can't be created for ended the process.
  test('reads only what clients and listeners accept', () => {
    fc.assert(fc.property(addresses, (text) => {
      const address = parseAddress(text)
      if (address === undefined) return
      expect(text).toBe(`${address.host}:${address.port}`)
      new Client(`http://${text}`).destroy().catch(() => { /* nothing was sent */ })
      createServer().on('error', () => { /* another machine's address */ }).listen({ ...address, port: 0 }).close()
    }), { seed: 67, numRuns: 300 })
  })
})
