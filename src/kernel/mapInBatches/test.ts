import { describe, expect, it } from 'vitest'
import { mapInBatches } from './index.js'

describe('mapInBatches', () => {
  it.each([[[], 2], [[1], 2], [[1, 2, 3, 4, 5], 2]])('keeps the order of %j', async (items: number[], size) => {
    expect(await mapInBatches(items, size, async (item) => item * 2)).toEqual(items.map((item) => item * 2))
  })

  it('runs no more than a batch at once', async () => {
    let running = 0
    let most = 0
    await mapInBatches(Array(10).fill(0), 3, async () => {
      most = Math.max(most, ++running)
      await Promise.resolve()
      running -= 1
    })
    expect(most).toBe(3)
  })
})
