/** Measures the work on configuration sheets of growing size, and how a change spreads over growing fleets. */
import type { BenchOptions, Cell, Table } from '../types.js'
import { measureRollout, type RolloutMeasurement } from './_lib/measureRollout.js'
import { measureSheet } from './_lib/measureSheet.js'

const SHEET_SIZES = [1_000, 4_000, 17_000]
const FAST_SHEET_SIZES = [1_000, 4_000]
const FLEETS = [{ nodes: 9, zones: 3, runs: 3 }, { nodes: 45, zones: 3, runs: 3 }, { nodes: 360, zones: 8, runs: 1 }]
const FAST_FLEETS = FLEETS.slice(0, 2)

/**
 * Runs the benchmark.
 *
 * @param options - `fast` leaves out the largest sizes; `seed` seeds the random sources.
 * @returns A table of sizes in bytes, one of times on this machine, and one of rollout delays on a manual clock.
 *
 * @example
 * const tables = await runConfigurationBench({ fast: true, seed: 1 })
 */
export const runConfigurationBench = async ({ fast, seed }: BenchOptions): Promise<readonly Table[]> => {
  const sheets = (fast ? FAST_SHEET_SIZES : SHEET_SIZES).map((accounts) => ({ accounts, ...measureSheet(accounts) }))
  const rollouts: RolloutMeasurement[] = []
  for (const fleet of fast ? FAST_FLEETS : FLEETS) {
    for (let run = 0; run < fleet.runs; run += 1) rollouts.push(await measureRollout({ ...fleet, seed: seed + run }))
  }
  return [
    {
      title: 'Bytes of a sheet with 600 backend servers and 33 routes; the root with a full history',
      columns: ['client accounts', 'CSV', 'chunks', 'all chunks', 'largest chunk', 'root', 'chunks of one changed row', 'fetched for one changed row', 'memory of a node'],
      rows: sheets.map((sheet): readonly Cell[] => [sheet.accounts, sheet.csvBytes, sheet.chunks, sheet.chunkBytes, sheet.largestChunkBytes, sheet.rootBytes, sheet.changedChunks, sheet.rootBytes + sheet.changedBytes, sheet.memoryBytes])
    },
    {
      title: 'Milliseconds of one core for a sheet, median of 7',
      columns: ['client accounts', 'read and check', 'split', 'compare', 'boot of a node', 'one changed row at a node'],
      rows: sheets.map((sheet): readonly Cell[] => [sheet.accounts, ...[sheet.parseMs, sheet.splitMs, sheet.compareMs, sheet.bootMs, sheet.changeMs].map((time) => time.toFixed(1))])
    },
    {
      title: 'From acceptance to in force, in milliseconds of a manual clock, and calls of all nodes at the platform',
      columns: ['nodes', 'zones', 'half have it', '99 % have it', 'all have it', 'root reads', 'chunk reads', 'watches renewed', 'calls a second while idle'],
      rows: rollouts.map(formatRolloutRow)
    }
  ]
}

const formatRolloutRow = (rollout: RolloutMeasurement): readonly Cell[] => {
  const { delaysMs } = rollout
  const at = (share: number): number => delaysMs[Math.ceil(share * delaysMs.length) - 1] ?? NaN
  return [rollout.nodes, rollout.zones, at(0.5), at(0.99), at(1), rollout.rootReads, rollout.chunkReads, rollout.watchers, rollout.steadyCallsPerSecond.toFixed(2)]
}
