import { describe, expect, test } from 'vitest'
import { createPauseDetector } from './createPauseDetector.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'

const startDetector = () => {
  const clock = createManualClock()
  let pausedMs = 0
  let suspendedMs = 0
  const watch = createPauseDetector({ now: () => clock.now() + pausedMs, wallTime: () => clock.wallTime() + pausedMs + suspendedMs, setTimer: clock.setTimer }, (act) => { clock.setTimer(5, act) })
  const acts: string[] = []
  return {
    clock,
    acts,
    watch,
    standStill: (ms: number): void => { pausedMs += ms },
    suspend: (ms: number): void => { suspendedMs += ms },
    act: (name: string): void => watch.runWhenCaughtUp(() => { acts.push(name) })
  }
}

describe('createPauseDetector', () => {
  test('calls back at once while the event loop runs, and when it is a little late', async () => {
    const { clock, acts, standStill, act } = startDetector()
    await clock.advanceAndSettle(5_000)
    standStill(400)
    act('a')
    expect(acts).toEqual(['a'])
  })

  test('detects that the VM was suspended', () => {
    const { acts, suspend, act } = startDetector()
    suspend(3_000)
    act('a')
    expect(acts).toEqual([])
  })

  // Guards against forwarding a request that is read right after a pause, before the caller's close is read.
  test('delays callbacks after a pause, also of requests that arrive soon after it', async () => {
    const { clock, acts, standStill, act } = startDetector()
    standStill(3_000)
    act('a')
    await clock.advanceAndSettle(100)
    act('b')
    expect(acts).toEqual(['a'])
    await clock.advanceAndSettle(10)
    expect(acts).toEqual(['a', 'b'])
    await clock.advanceAndSettle(2_000)
    act('c')
    expect(acts).toEqual(['a', 'b', 'c'])
  })
})
