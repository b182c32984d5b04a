import { describe, expect, it } from 'vitest'
import { createManualClock } from './index.js'

describe('createManualClock', () => {
  it('runs timers in the order of their due times, each once', async () => {
    const clock = createManualClock()
    const ran: string[] = []
    clock.setTimer(7, () => ran.push('late'))
    clock.setTimer(3, () => ran.push('early'))
    await clock.advanceAndSettle(10)
    await clock.advanceAndSettle(10)
    expect(ran).toEqual(['early', 'late'])
  })

  it('does not run a cancelled timer', async () => {
    const clock = createManualClock()
    const ran: string[] = []
    clock.setTimer(3, () => ran.push('cancelled')).cancel()
    await clock.advanceAndSettle(5)
    expect(ran).toEqual([])
  })

  it('runs a timer that was set by another timer of the same advance', async () => {
    const clock = createManualClock()
    const times: number[] = []
    clock.setTimer(2, () => clock.setTimer(0, () => clock.setTimer(3, () => times.push(clock.now()))))
    await clock.advanceAndSettle(5)
    expect(times).toEqual([5])
  })
})
