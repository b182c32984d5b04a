import { expect, test } from 'vitest'
import { createRecentRead } from './createRecentRead.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { failure, success } from '../../kernel/index.js'

const create = () => {
  const clock = createManualClock()
  const state = { reads: 0, isAway: false }
  const { startRead, recent } = createRecentRead(clock, async () => {
    state.reads += 1
    return state.isAway ? failure({ kind: 'unavailable', message: 'away' } as const) : success(state.reads)
  })
  return { clock, state, startRead, recent }
}

// Each start of a process would add a round trip; an old read would miss what has ended since.
test('gives the last read for a moment, until something is written', async () => {
  const { clock, startRead, recent } = create()
  startRead()
  expect(await recent.read()).toEqual(success(1))
  recent.forget()
  expect(await recent.read()).toEqual(success(2))
  await clock.advanceAndSettle(2_000)
  expect(await recent.read()).toEqual(success(3))
})

test('reads again after a read that failed', async () => {
  const { state, startRead, recent } = create()
  state.isAway = true
  await startRead()
  state.isAway = false
  expect(await recent.read()).toEqual(success(2))
})
