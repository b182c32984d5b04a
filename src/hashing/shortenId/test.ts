import { describe, expect, test } from 'vitest'
import { SHORT_ID_CHARACTERS, shortenId } from './index.js'

describe('shortenId', () => {
  test('gives as many safe characters for any text', () => {
    for (const id of ['', 'r1', 'ü/😀 ..', 'x'.repeat(10_000)]) expect(shortenId(id)).toMatch(new RegExp(`^[A-Za-z0-9_-]{${SHORT_ID_CHARACTERS}}$`))
  })

  // Nodes of another build, or on another machine, read what was stored.
  test('gives the same on every machine', () => {
    expect(shortenId('request-1')).toBe('pbGcMCWi8Nk')
  })

  test('gives each of many similar ids a hash of its own', () => {
    const ids = Array.from({ length: 200_000 }, (_, index) => shortenId(`request-${index}`))
    expect(new Set(ids).size).toBe(ids.length)
  })
})
