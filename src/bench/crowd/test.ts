import { describe, expect, it } from 'vitest'
import { simulateBurst, type BurstOptions } from './_lib/simulateBurst.js'

/** Three in a hundred requests of five seconds may reach an engine over the limit. */
const ALLOWED_SHARE = 0.03
const OPTIONS: Omit<BurstOptions, 'seed' | 'skew'> = {
  nodesPerZone: 8, zones: 3, engines: 45, addedEngines: 15, leavingEngines: 11, requestsPerSecond: 120, subjects: 150, holdMs: 450, simulatedMs: 10_000
}

// By its last count, an engine that holds a prompt in demand is free for all nodes at once, or for none.
describe.each([0, 0.2, 1])('bursts at engines with prompts in demand (skew %d)', (skew) => {
  it.each([1, 2, 3])('keep the load limit (seed %i)', async (seed) => {
    expect((await simulateBurst({ ...OPTIONS, skew, seed })).worstShare).toBeLessThanOrEqual(ALLOWED_SHARE)
  })
})
