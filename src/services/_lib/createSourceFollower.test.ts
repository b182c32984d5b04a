import { describe, expect, test } from 'vitest'
import { createSourceFollower, type SourceReading } from './createSourceFollower.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { success } from '../../kernel/index.js'

describe('createSourceFollower', () => {
  // A rejected read ended the process.
  test('counts a read that throws as a failed one, and goes on', async () => {
    const clock = createManualClock()
    const events: string[] = []
    let reads = 0
    const readAll = async (): Promise<SourceReading> => {
      reads += 1
      if (reads === 1) throw new TypeError('no object')
      return success(() => { events.push('applied') })
    }
    const watch = (): Promise<SourceReading> => new Promise(() => {})
    const follower = createSourceFollower(clock, { readAll, watch, isKnown: () => false, onReached: () => events.push('reached'), onLost: (reason) => events.push(reason), onHistoryGone: () => {} }, { onThrown: () => events.push('thrown') })
    follower.start()
    await clock.advanceAndSettle(1_000)
    follower.stop()
    expect(events).toEqual(['thrown', 'TypeError: no object', 'reached', 'applied'])
  })
})
