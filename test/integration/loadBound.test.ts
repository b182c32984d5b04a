/**
 * The load bound with the real membership, load view, directory and choice of
 * nine routers on a manual clock, under what the brief says may fail. The
 * engines' own counts at each placement are the judge, not the routers' views.
 */
import { describe, expect, it } from 'vitest'
import { createSimulation } from '../../src/bench/placement/_lib/createSimulation.js'
import { deployments } from '../../src/bench/placement/_lib/deployments.js'
import { policies } from '../../src/bench/placement/_lib/policies.js'
import { scenarios } from '../../src/bench/placement/_lib/scenarios.js'

const SEED = 20_261_202
const WARM_UP_MS = 30_000
const MEASURED_MS = 40_000
const SETTLE_MS = 5_000
/** Placements above the limit that late counts may cause, as a share; docs/GUARANTEES.md says what is left. */
const ALLOWED_SHARE = 0.01

const runScenario = async (policy: string, scenario: string): Promise<number> => {
  const simulation = createSimulation({ deployment: deployments[0]!, policy: policies[policy]!, seed: SEED, warmUpMs: WARM_UP_MS, measuredMs: MEASURED_MS })
  const from = SETTLE_MS + WARM_UP_MS
  scenarios[scenario]!(simulation, { from, until: from + MEASURED_MS })
  await simulation.run()
  return simulation.measurement.read().placementsAboveLimit
}

// Requests would pile up on one engine while others stand idle.
describe('the load bound', () => {
  it.each(Object.keys(scenarios))('holds at all but a hundredth of placements: %s', async (scenario) => {
    expect(await runScenario('bounded, memory, new chats apart', scenario)).toBeLessThan(ALLOWED_SHARE)
  })

  it('is passed at every tenth placement without the guard', async () => {
    expect(await runScenario('plain rendezvous', 'steady')).toBeGreaterThan(0.1)
  })
})
