import { describe, expect, test } from 'vitest'
import { createSourceFollower, type SourceReading } from './createSourceFollower.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { failure, success } from '../../kernel/index.js'

/** A read without a reply ends by its time-out. */
const READ_TIMEOUT_MS = 700

describe('createSourceFollower', () => {
  // Connections to the source and to the readers can go silent together: a second wait of two seconds passed the time to reconnect.
  test('repeats the first failed read of a node that lost its readers, and then less often', async () => {
    const clock = createManualClock()
    const reads: number[] = []
    const readAll = async (): Promise<SourceReading> => {
      reads.push(clock.now() - startedAt)
      await new Promise<void>((resolve) => { clock.setTimer(READ_TIMEOUT_MS, resolve) })
      return failure({ kind: 'unavailable', message: 'no reply' })
    }
    const follower = createSourceFollower(clock, { readAll, watch: readAll, isKnown: () => true, onReached: () => {}, onLost: () => {}, onHistoryGone: () => {} }, { isReader: () => false, relianceMs: 1_500 })
    const startedAt = clock.now()
    follower.recordRelay(0)
    follower.start()
    await clock.advanceAndSettle(6_000)
    follower.stop()
    expect(reads).toEqual([1_500, 2_400, 5_100])
  })

  // The age of a list counted from the first failure: a node that relied on it took the source for reachable at that time.
  test('counts the time without a reading from the last one', async () => {
    const clock = createManualClock()
    let isUnavailable = false
    const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })
    const read = async (): Promise<SourceReading> => {
      await wait(READ_TIMEOUT_MS)
      return isUnavailable ? failure({ kind: 'unavailable', message: 'no reply' }) : success(() => {})
    }
    const follower = createSourceFollower(clock, { readAll: read, watch: read, isKnown: () => true, onReached: () => {}, onLost: () => {}, onHistoryGone: () => {} }, {})
    follower.start()
    await clock.advanceAndSettle(READ_TIMEOUT_MS)
    expect(follower.lostMs()).toBe(0)
    isUnavailable = true
    await clock.advanceAndSettle(READ_TIMEOUT_MS)
    follower.stop()
    expect(follower.lostMs()).toBe(READ_TIMEOUT_MS)
  })

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

  // One exception in a listener ended the watch for the life of the process, while the source counted as reachable.
  test('reads the whole list again, at intervals, after what was read could not be applied', async () => {
    const clock = createManualClock()
    const thrown: unknown[] = []
    let whole = 0
    let watches = 0
    const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })
    const fail = (): void => { throw new Error('unexpected') }
    const readAll = async (): Promise<SourceReading> => { whole += 1; return success(whole === 2 || whole === 3 ? fail : () => {}) }
    const watch = async (): Promise<SourceReading> => {
      watches += 1
      await wait(100)
      return success(watches === 1 ? fail : () => {})
    }
    const follower = createSourceFollower(clock, { readAll, watch, isKnown: () => true, onReached: () => {}, onLost: () => {}, onHistoryGone: () => {} }, { onThrown: (error) => thrown.push(error) })
    follower.start()
    await clock.advanceAndSettle(150)
    expect({ whole, isReachable: follower.isReachable() }).toEqual({ whole: 1, isReachable: false })
    await clock.advanceAndSettle(5_000)
    follower.stop()
    expect({ whole, thrown: thrown.length, isReachable: follower.isReachable() }).toEqual({ whole: 4, thrown: 3, isReachable: true })
    expect(watches).toBeGreaterThan(10)
  })
})
