import { describe, expect, it } from 'vitest'
import { runFairnessBench } from './index.js'

const SEED = 1

describe('runFairnessBench', () => {
  // Without fair queueing, the requests of other accounts wait for seconds behind the burst of one account.
  it('isolates the calm accounts from a surge, unlike first come first served', async () => {
    const [surge] = await runFairnessBench({ fast: true, seed: SEED })
    const calmTimes = new Map(surge!.rows.map((row) => [`${row[0]}, ${row[1]}`, Number(row[3])]))
    const calmRefused = new Map(surge!.rows.map((row) => [`${row[0]}, ${row[1]}`, Number(row[4])]))
    expect(calmRefused.get('weighted fair, fleet-wide, two accounts x10')).toBe(0)
    expect(calmTimes.get('weighted fair, fleet-wide, two accounts x10')!).toBeLessThan(calmTimes.get('first come first served, two accounts x10')! / 5)
  })
})
