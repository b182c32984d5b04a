/** Measures how often engines exceed the load limit when prompts with shared prefixes arrive in bursts while engines are added and leave. */
import { simulateBurst, type BurstOptions } from './_lib/simulateBurst.js'
import { round } from '../_lib/statistics.js'
import type { Bench, Cell } from '../types.js'

type BurstSize = Omit<BurstOptions, 'seed' | 'skew' | 'simulatedMs' | 'holdMs' | 'zones'>

const SIZES: readonly BurstSize[] = [
  { nodesPerZone: 8, engines: 45, addedEngines: 15, leavingEngines: 11, requestsPerSecond: 120, subjects: 150 },
  { nodesPerZone: 25, engines: 98, addedEngines: 42, leavingEngines: 24, requestsPerSecond: 400, subjects: 600 }
]
const FAST_SIZES = SIZES.slice(0, 1)
const SEEDS = 3
const SKEWS = [0, 0.2, 1]
const ZONES = 3
const HOLD_MS = 450
const SIMULATED_MS = 10_000

const formatShare = (share: number): string => `${round(share * 100, 2)} %`

const runSeeds = async (size: BurstSize, skew: number, seed: number): Promise<readonly Cell[]> => {
  const outcomes = await Promise.all(Array.from({ length: SEEDS }, (_, index) =>
    simulateBurst({ ...size, skew, seed: seed + index, zones: ZONES, holdMs: HOLD_MS, simulatedMs: SIMULATED_MS })))
  const sum = (read: (outcome: typeof outcomes[number]) => number): number => outcomes.reduce((total, outcome) => total + read(outcome), 0)
  const requests = sum((outcome) => outcome.requests)
  return [formatShare(sum((outcome) => outcome.overLimit) / requests), formatShare(Math.max(...outcomes.map(({ worstShare }) => worstShare))), round(sum((outcome) => outcome.prefilledTokens) / requests, 0)]
}

/** Runs the benchmark; returns one table with a row for each size and skew, over three seeds. */
export const runCrowdBench: Bench = async ({ fast, seed }) => {
  const rows: Cell[][] = []
  for (const size of fast ? FAST_SIZES : SIZES) {
    for (const skew of SKEWS) rows.push([size.nodesPerZone * ZONES, size.engines, skew, ...await runSeeds(size, skew, seed)])
  }
  return [{ title: 'Requests at engines over twice the mean and three', columns: ['nodes', 'engines', 'skew', 'share', 'worst five seconds', 'tokens read a request'], rows }]
}
