/**
 * Measures what the callers of a model service get when more work arrives than its
 * engines do: real gateway nodes before emulated engines on a manual clock. Compares
 * first come, first served without priorities with the admission control of the nodes.
 */
import { callerAccounts, loadPatterns, requestKinds, type LoadPattern, type LoadPatternName } from '../../emulator/createArrivals/index.js'
import { playArrivals, type CallOutcome, type PlayOptions } from '../../emulator/playArrivals/index.js'
import type { Bench, BenchOptions, Cell, Table } from '../types.js'
import { measureService, type ServiceMeasurement } from './_lib/measure.js'

export type OverloadSizes = Pick<PlayOptions, 'seed' | 'nodes' | 'engines'> & {
  /** Time before the measurement, in milliseconds: the queues of a steady load have their length after it. */
  readonly warmUpMs: number
  readonly measuredMs: number
  /** Time for which the load goes on, in milliseconds, so that the last measured requests have no better time than the others. */
  readonly coolDownMs: number
}

type Trial = { readonly load: number, readonly policy: PlayOptions['policy'], readonly pattern: LoadPatternName, readonly outcomes: readonly CallOutcome[] }

const LOADS = [0.5, 1, 1.5, 2, 3]
/** Load on which the patterns come. */
const PATTERN_LOAD = 1.5
const ACCOUNT_LOADS = [1, 3]
const FAST_SIZES = { nodes: 4, engines: 4, warmUpMs: 6_000, measuredMs: 12_000, coolDownMs: 3_000 }
const FULL_SIZES = { nodes: 6, engines: 8, warmUpMs: 15_000, measuredMs: 40_000, coolDownMs: 10_000 }

const policyTitles: Readonly<Record<PlayOptions['policy'], string>> = { firstCome: 'first come, first served', controlled: 'admission control' }
const policies = Object.keys(policyTitles) as readonly PlayOptions['policy'][]

const formatMs = (value: number): Cell => Number.isNaN(value) ? '' : Math.round(value)

const formatShare = (value: number): string => Number.isNaN(value) ? '' : value.toFixed(3)

const RESULT_COLUMNS = ['goodput', 'complete', 'in target', 'first token p50', 'p95', 'p99', 'refused', 'broken off', 'left']

const describeResult = ({ goodput, completeWork, inTarget, firstToken, refused, brokenOff, left }: ServiceMeasurement): readonly Cell[] =>
  [goodput, completeWork, inTarget].map(formatShare).concat([firstToken.p50, firstToken.p95, firstToken.p99].map((value) => String(formatMs(value))), [refused, brokenOff, left].map(formatShare))

const listMeasured = ({ outcomes }: Trial, { warmUpMs, measuredMs }: OverloadSizes): readonly CallOutcome[] =>
  outcomes.filter(({ arrival }) => arrival.at >= warmUpMs && arrival.at < warmUpMs + measuredMs)

/** Plays one run; the pattern applies from the begin of the measured time. */
const playTrial = async (sizes: OverloadSizes, load: number, policy: PlayOptions['policy'], pattern: LoadPatternName): Promise<Trial> => {
  const { warmUpMs, measuredMs, coolDownMs, ...rest } = sizes
  const durationMs = warmUpMs + measuredMs + coolDownMs
  const outcomes = await playArrivals({ ...rest, load, policy, pattern: loadPatterns[pattern], durationMs, trouble: { fromMs: warmUpMs, toMs: durationMs } })
  return { load, policy, pattern, outcomes }
}

/**
 * Measures one run.
 *
 * @param sizes - Seed, nodes, engines and times.
 * @param load - Arriving work as a multiple of what the engines do.
 * @param policy - With or without admission control.
 * @returns What the callers got.
 *
 * @example
 * (await measureOverload({ seed: 1, nodes: 4, engines: 4, warmUpMs: 6_000, measuredMs: 12_000, coolDownMs: 3_000 }, 3, 'controlled')).goodput
 */
export const measureOverload = async (sizes: OverloadSizes, load: number, policy: PlayOptions['policy']): Promise<ServiceMeasurement> =>
  measureService(listMeasured(await playTrial(sizes, load, policy, 'steady'), sizes), sizes.engines * sizes.measuredMs)

const describeGroups = (trials: readonly Trial[], sizes: OverloadSizes, names: readonly string[], readGroup: (outcome: CallOutcome) => string): readonly (readonly Cell[])[] =>
  names.flatMap((name) => trials.map((trial) => {
    const group = listMeasured(trial, sizes).filter((outcome) => readGroup(outcome) === name)
    return [name, trial.load, policyTitles[trial.policy], group.length, ...describeResult(measureService(group, sizes.engines * sizes.measuredMs))]
  }))

const createLoadTables = async (sizes: OverloadSizes): Promise<readonly Table[]> => {
  const trials: Trial[] = []
  for (const load of LOADS) {
    for (const policy of policies) trials.push(await playTrial(sizes, load, policy, 'steady'))
  }
  const describeAll = (trial: Trial): readonly Cell[] => [trial.load, policyTitles[trial.policy], listMeasured(trial, sizes).length, ...describeResult(measureService(listMeasured(trial, sizes), sizes.engines * sizes.measuredMs))]
  const groupColumns = ['load', 'policy', 'requests', ...RESULT_COLUMNS]
  return [
    { title: `Steady load for ${sizes.measuredMs / 1_000} s, ${sizes.nodes} nodes, ${sizes.engines} engines (times in ms; goodput and complete work as multiples of capacity)`, columns: groupColumns, rows: trials.map(describeAll) },
    {
      title: 'By kind and its priority',
      columns: ['kind', ...groupColumns],
      rows: describeGroups(trials, sizes, requestKinds.map(({ name, priority }) => `${name} (${priority})`), ({ arrival: { kind } }) => `${kind.name} (${kind.priority})`)
    },
    {
      title: 'By client account',
      columns: ['account', ...groupColumns],
      rows: describeGroups(trials.filter(({ load }) => ACCOUNT_LOADS.includes(load)), sizes, callerAccounts.map(({ name }) => name), ({ arrival }) => arrival.account)
    }
  ]
}

/** Whether a request is one of those that the pattern adds or changes. */
const isPartOfPattern = ({ kindSurge, accountSurge }: LoadPattern, { arrival }: CallOutcome): boolean =>
  arrival.kind.name === kindSurge?.kind || arrival.account === accountSurge?.account || arrival.repeats > 0 || arrival.leavesAfterMs !== undefined

const describePattern = (trial: Trial, sizes: OverloadSizes): readonly (readonly Cell[])[] => {
  const measured = listMeasured(trial, sizes)
  const others = measured.filter((outcome) => !isPartOfPattern(loadPatterns[trial.pattern], outcome))
  const groups: readonly (readonly [string, readonly CallOutcome[]])[] = others.length === measured.length ? [['all', measured]] : [['all', measured], ['others', others]]
  return groups.map(([title, group]) => [trial.pattern, title, policyTitles[trial.policy], group.length, ...describeResult(measureService(group, sizes.engines * sizes.measuredMs))])
}

const createPatternTable = async (sizes: OverloadSizes, names: readonly LoadPatternName[]): Promise<Table> => {
  const rows: (readonly Cell[])[] = []
  for (const name of names) {
    for (const policy of policies) rows.push(...describePattern(await playTrial(sizes, PATTERN_LOAD, policy, name), sizes))
  }
  return { title: `Load patterns on a load of ${PATTERN_LOAD}; the others are the callers that the pattern leaves alone`, columns: ['pattern', 'callers', 'policy', 'requests', ...RESULT_COLUMNS], rows }
}

const selectPatterns = (only: string | undefined): readonly LoadPatternName[] =>
  (Object.keys(loadPatterns) as LoadPatternName[]).filter((name) => only === undefined ? name !== 'steady' : name === only)

/**
 * Runs the benchmark.
 *
 * @param options - Size and seed; `only` names one load pattern.
 * @returns Tables of the steady loads, by kind and by client account, and one of the load patterns.
 *
 * @example
 * const tables = await runOverloadBench({ fast: true, seed: 1 })
 */
export const runOverloadBench: Bench = async ({ fast, seed, only }: BenchOptions) => {
  const sizes: OverloadSizes = { seed, ...(fast ? FAST_SIZES : FULL_SIZES) }
  return [...(only === undefined || only === 'steady' ? await createLoadTables(sizes) : []), await createPatternTable(sizes, selectPatterns(only))]
}
