/**
 * Compares placement policies by deployment and scenario. docs/PLACEMENT.md quotes
 * the tables.
 */
import type { BenchOptions, Cell, Table } from '../types.js'
import type { PlacementMetrics } from './_lib/createMeasurement.js'
import { createSimulation } from './_lib/createSimulation.js'
import { deployments, type Deployment } from './_lib/deployments.js'
import { policies } from './_lib/policies.js'
import { scenarios } from './_lib/scenarios.js'

type Times = { readonly warmUpMs: number, readonly measuredMs: number }

const FULL: Times = { warmUpMs: 180_000, measuredMs: 300_000 }
const FAST: Times = { warmUpMs: 60_000, measuredMs: 60_000 }
const ROUTER_POLICY = 'bounded, memory, new chats apart'
const TARGETS = [1.1, 1.2, 1.26, 1.32, 1.4, 1.5]
const SETTLE_MS = 5_000

const COLUMNS = [
  'returning hits', 'all hits', 'max/mean 99th', 'max/mean worst', 'time above limit', 'placed above limit',
  'first token median ms', 'first token 95th ms', 'control B/s node', 'worst node', 'mean load', 'turns', 'refused'
]

const formatShare = (share: number): string => `${(share * 100).toFixed(1)} %`

const formatMetrics = (measures: PlacementMetrics): readonly Cell[] => [
  formatShare(measures.returningHitShare),
  formatShare(measures.hitShare),
  measures.skew99.toFixed(2),
  measures.maximumSkew.toFixed(2),
  formatShare(measures.shareAboveLimit),
  formatShare(measures.placementsAboveLimit),
  measures.firstTokenMedianMs,
  measures.firstToken95Ms,
  Math.round(measures.controlBytesPerSecond),
  Math.round(measures.maximumControlBytesPerSecond),
  measures.meanLoad.toFixed(1),
  measures.turns,
  measures.refused
]

type RunOptions = {
  readonly deployment: Deployment
  readonly policy: string
  readonly scenario: string
  readonly seed: number
  readonly times: Times
  readonly loadTarget?: number
}

const runOnce = async (run: RunOptions): Promise<PlacementMetrics> => {
  const { deployment, seed, times } = run
  const simulation = createSimulation({
    deployment,
    seed,
    ...times,
    policy: policies[run.policy]!,
    ...(run.loadTarget === undefined ? {} : { loadTarget: run.loadTarget })
  })
  const from = SETTLE_MS + times.warmUpMs
  scenarios[run.scenario]!(simulation, { from, until: from + times.measuredMs })
  await simulation.run()
  return simulation.measurement.read()
}

const comparePolicies = async (deployment: Deployment, scenario: string, options: BenchOptions): Promise<Table> => {
  const rows: (readonly Cell[])[] = []
  for (const policy of Object.keys(policies)) {
    const measures = await runOnce({ deployment, policy, scenario, seed: options.seed, times: options.fast ? FAST : FULL })
    rows.push([policy, ...formatMetrics(measures)])
  }
  const { name, routers, engines } = deployment
  return { title: `${name}: ${routers} routers, ${engines} engines, limit ${deployment.loadLimit}, ${scenario}`, columns: ['policy', ...COLUMNS], rows }
}

const compareTargets = async (deployment: Deployment, options: BenchOptions): Promise<Table> => {
  const rows: (readonly Cell[])[] = []
  for (const loadTarget of TARGETS) {
    const measures = await runOnce({ deployment, policy: ROUTER_POLICY, scenario: 'steady', seed: options.seed, times: options.fast ? FAST : FULL, loadTarget })
    rows.push([loadTarget, ...formatMetrics(measures)])
  }
  return { title: `${deployment.name}: load target of "${ROUTER_POLICY}", steady`, columns: ['target', ...COLUMNS], rows }
}

const FAST_DEPLOYMENTS = 2

const selectDeployments = ({ fast, only }: BenchOptions): readonly Deployment[] => {
  if (only !== undefined) return deployments.filter(({ name }) => name === only)
  return fast ? deployments.slice(0, FAST_DEPLOYMENTS) : deployments
}

/**
 * Compares the policies on each deployment and scenario, and the load targets of
 * the policy that the router uses. The fast setting has shorter times, two
 * deployments and only the steady scenario.
 *
 * @param options - Seed, and whether to run the fast setting.
 * @returns One table per comparison.
 */
export const runPlacementBench = async (options: BenchOptions): Promise<readonly Table[]> => {
  const tables: Table[] = []
  const names = options.fast ? ['steady'] : Object.keys(scenarios)
  for (const deployment of selectDeployments(options)) {
    for (const scenario of names) tables.push(await comparePolicies(deployment, scenario, options))
    if (!options.fast) tables.push(await compareTargets(deployment, options))
  }
  return tables
}
