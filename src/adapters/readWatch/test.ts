import { describe, expect, test } from 'vitest'
import { createReadWatch } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'

const startWatch = () => {
  const clock = createManualClock()
  let pausedMs = 0
  const checks: (() => void)[] = []
  const watch = createReadWatch({ now: () => clock.now() + pausedMs, setTimer: clock.setTimer }, (act) => { checks.push(act) })
  return {
    clock,
    watch,
    standStill: (ms: number): void => { pausedMs += ms },
    runCheckPhase: (): void => { for (const act of checks.splice(0)) act() }
  }
}

describe('createReadWatch', () => {
  test('measures no delay while timers run in time', async () => {
    const { clock, watch } = startWatch()
    await clock.advanceAndSettle(1_050)
    expect(watch.delayMs()).toBe(0)
  })

  test('measures a pause for what is read before timers run', () => {
    const { watch, standStill } = startWatch()
    standStill(700)
    expect(watch.delayMs()).toBe(600)
  })

  // Guards against requests that lay unread for a long turn and get their whole limit again.
  test('measures a late timer until the sockets of its turn are read', async () => {
    const { clock, watch, standStill, runCheckPhase } = startWatch()
    standStill(300)
    await clock.advanceAndSettle(100)
    expect(watch.delayMs()).toBe(300)
    standStill(20)
    expect(watch.delayMs()).toBe(320)
    runCheckPhase()
    expect(watch.delayMs()).toBe(0)
  })
})
