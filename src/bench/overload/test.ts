import { describe, expect, it } from 'vitest'
import { measureOverload, type OverloadSizes } from './index.js'

const SIZES: OverloadSizes = { seed: 1, nodes: 4, engines: 4, warmUpMs: 6_000, measuredMs: 12_000, coolDownMs: 3_000 }

describe('measureOverload', () => {
  // The comparison would be worth nothing if the emulated engines did not suffer from a queue.
  it('shows the goodput of first come, first served collapse above the capacity', async () => {
    const atCapacity = await measureOverload(SIZES, 1, 'firstCome')
    const above = await measureOverload(SIZES, 2, 'firstCome')
    expect(above.goodput).toBeLessThan(atCapacity.goodput / 2)
    expect(atCapacity).toEqual(await measureOverload(SIZES, 1, 'firstCome'))
  })
})
