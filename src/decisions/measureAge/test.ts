import { describe, expect, test } from 'vitest'
import { measureAge, type ClockReading } from './index.js'

const at = (monotonic: number, wall: number, boot: number): ClockReading => ({ monotonic, wall, boot })

const measure = (since: ClockReading, now: ClockReading): number => measureAge(since, { monotonic: () => now.monotonic, wall: () => now.wall, boot: () => now.boot })

describe('measureAge', () => {
  test('is the time that passed', () => expect(measure(at(0, 1_000, 50), at(400, 1_400, 450))).toBe(400))

  // Otherwise a key that was revoked while the VM was suspended would count as recently confirmed.
  test('includes the time for which the VM was suspended', () => expect(measure(at(0, 0, 0), at(10, 5_010, 5_010))).toBe(5_010))

  test('includes that time also when the wall clock was set back while the VM was suspended', () => expect(measure(at(0, 0, 0), at(10, 10 - 3_000, 5_010))).toBe(5_010))
  test('counts a forward jump of the wall clock as elapsed time', () => expect(measure(at(0, 0, 0), at(10, 2_410, 10))).toBe(2_410))
  test('ignores a backward jump of the wall clock', () => expect(measure(at(0, 0, 0), at(500, -2_000, 500))).toBe(500))
})
