import { describe, expect, it } from 'vitest'
import { measureOverload, type OverloadSizes } from './index.js'

const SIZES: OverloadSizes = { seed: 1, nodes: 4, engines: 4, warmUpMs: 6_000, measuredMs: 12_000, coolDownMs: 3_000 }
const LOADS = [0.5, 1, 1.5, 2, 3]
/** What callers need of a service at its limit: more demand may not cost those who are served. */
const LEAST_SHARE_OF_PEAK = 0.95

describe('measureOverload with admission control', () => {
  // Without admission control the engines fill with answers that come too late, and goodput falls to nothing.
  it('keeps the goodput of three times the capacity at its peak', async () => {
    const goodputs: number[] = []
    for (const load of LOADS) goodputs.push((await measureOverload(SIZES, load, 'controlled')).goodput)
    expect(goodputs.at(-1)! / Math.max(...goodputs)).toBeGreaterThanOrEqual(LEAST_SHARE_OF_PEAK)
  })
})
