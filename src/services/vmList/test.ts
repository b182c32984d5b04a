import { describe, expect, it } from 'vitest'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { success } from '../../kernel/index.js'
import { createVmList } from './index.js'

const INTERVAL_MS = 5_000
const MINUTES_MS = 600_000

const countReads = async (isReader: () => boolean): Promise<number> => {
  const clock = createManualClock()
  let reads = 0
  const platform = {
    listVms: async () => {
      reads += 1
      return success([])
    }
  }
  const vmList = createVmList({ clock, random: createSeededRandom(1), platform }, { intervalMs: INTERVAL_MS, isReader })
  await vmList.start?.()
  await clock.advanceAndSettle(MINUTES_MS)
  await vmList.stop?.()
  return reads
}

describe('createVmList', () => {
  it('reads at each interval when it is a reader', async () => {
    expect(await countReads(() => true)).toBeGreaterThan(100)
  })

  it('reads about once a minute when others read for it', async () => {
    const reads = await countReads(() => false)
    expect(reads).toBeGreaterThanOrEqual(9)
    expect(reads).toBeLessThanOrEqual(13)
  })
})
