import { describe, expect, test } from 'vitest'
import { startMemoryWatch } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { LogFields } from '../../types/index.js'

describe('startMemoryWatch', () => {
  // An end for memory leaves no line of its own: without this one it can't be told from an exception.
  test('logs what fills the memory, now and then, while it is scarce', async () => {
    const clock = createManualClock()
    const lines: (LogFields | undefined)[] = []
    let heapBytes = 10
    const watch = startMemoryWatch({
      clock,
      logger: { warn: (_event, fields) => { lines.push(fields) } },
      readUse: () => ({ heapBytes, heapLimitBytes: 160, residentBytes: 50, residentLimitBytes: 350 }),
      describeContents: () => ({ requestBody: 7 })
    })
    await clock.advanceAndSettle(3_000)
    expect(lines).toEqual([])
    heapBytes = 150
    await clock.advanceAndSettle(4_000)
    expect(lines).toEqual([{ memory: 'heap', heapBytes: 150, heapLimitBytes: 160, residentBytes: 50, residentLimitBytes: 350, requestBody: 7 }])
    await clock.advanceAndSettle(5_000)
    watch.stop()
    await clock.advanceAndSettle(20_000)
    expect(lines).toHaveLength(2)
  })
})
