import { expect, test } from 'vitest'
import { createVersionEnds } from './createVersionEnds.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import { success } from '../../../kernel/index.js'

// A look that threw was the last one: ended versions stayed in the register.
test('looks again after a look threw', async () => {
  const clock = createManualClock()
  const entry = { service: 'engines', softwareVersion: '1', name: 'one', revision: 1, isEnding: false }
  const thrown: unknown[] = []
  let marks = 0
  const setEnding = async (): Promise<number> => {
    marks += 1
    if (marks === 1) throw new Error('unexpected')
    return 2
  }
  const ends = createVersionEnds({
    clock,
    random: { next: () => 0 },
    register: { read: async () => success([entry]), lastRead: () => [entry], setEnding, remove: async () => {} },
    isPresent: () => false,
    isReader: () => true,
    readHorizonMs: () => 60_000,
    onThrown: (error) => thrown.push(error)
  })
  ends.update()
  await clock.advanceAndSettle(2_000)
  ends.stop()
  expect([marks, thrown.length]).toEqual([2, 1])
})
