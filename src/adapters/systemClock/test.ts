import { describe, expect, test } from 'vitest'
import { createSystemClock } from './index.js'

describe('createSystemClock', () => {
  // Node.js takes a delay over 2^31 - 1 for 1 ms: a timeout of a month in a configuration ended each request at once.
  test('runs no timer early because of a long delay', async () => {
    const clock = createSystemClock()
    const ran: number[] = []
    const timers = [2 ** 31, 1e308, Infinity].map((delayMs) => clock.setTimer(delayMs, () => ran.push(delayMs)))
    await new Promise<void>((resolve) => { clock.setTimer(20, resolve) })
    for (const timer of timers) timer.cancel()
    expect(ran).toEqual([])
  })
})
