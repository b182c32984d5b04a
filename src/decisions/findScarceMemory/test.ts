import { describe, expect, test } from 'vitest'
import { findScarceMemory } from './index.js'

const USE = { heapBytes: 100, heapLimitBytes: 160, residentBytes: 200, residentLimitBytes: 350 }

describe('findScarceMemory', () => {
  test('finds none while both are below their limits', () => expect(findScarceMemory(USE)).toBeUndefined())
  test('finds the heap', () => expect(findScarceMemory({ ...USE, heapBytes: 130 })).toBe('heap'))
  test('finds the memory of the VM', () => expect(findScarceMemory({ ...USE, residentBytes: 300 })).toBe('resident'))
  test('knows the heap alone where the memory of the VM is unknown', () => expect(findScarceMemory({ ...USE, residentBytes: 9_000, residentLimitBytes: undefined })).toBeUndefined())
})
