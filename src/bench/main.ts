/** Entry point of `npm run bench -- NAME`: runs one benchmark and prints its tables. */
import CliTable from 'cli-table3'
import { Command, InvalidArgumentError } from 'commander'
import type { Bench, Table } from './types.js'

const benches: Readonly<Record<string, () => Promise<Bench>>> = {
  configuration: async () => (await import('./configuration/index.js')).runConfigurationBench,
  controlTraffic: async () => (await import('./controlTraffic/index.js')).runControlTrafficBench,
  crowd: async () => (await import('./crowd/index.js')).runCrowdBench,
  directory: async () => (await import('./directory/index.js')).runDirectoryBench,
  fairness: async () => (await import('./fairness/index.js')).runFairnessBench,
  fleetLoad: async () => (await import('./fleetLoad/index.js')).runFleetLoadBench,
  overload: async () => (await import('./overload/index.js')).runOverloadBench,
  gatewayControl: async () => (await import('./gatewayControl/index.js')).runGatewayControlBench,
  placement: async () => (await import('./placement/index.js')).runPlacementBench,
  quantiles: async () => (await import('./quantiles/index.js')).runQuantilesBench,
  warmUp: async () => (await import('./warmUp/index.js')).runWarmUpBench,
  routerCost: async () => (await import('./routerCost/index.js')).runRouterCostBench
}

const DEFAULT_SEED = 20_261_202

const renderTable = (table: Table): string => {
  const rendered = new CliTable({ head: [...table.columns], style: { head: [], border: [] } })
  for (const row of table.rows) rendered.push([...row])
  return `${table.title}\n${rendered.toString()}\n`
}

const renderMarkdown = (table: Table): string => {
  const line = (cells: readonly (string | number)[]): string => `| ${cells.join(' | ')} |`
  return [`**${table.title}**`, '', line(table.columns), line(table.columns.map(() => '---')), ...table.rows.map(line), ''].join('\n')
}

const parseSeed = (text: string): number => {
  const seed = Number(text)
  if (!Number.isSafeInteger(seed)) throw new InvalidArgumentError('must be a whole number')
  return seed
}

type BenchFlags = { readonly fast: boolean, readonly seed: number, readonly only?: string, readonly json: boolean, readonly markdown: boolean }

const printTables = (tables: readonly Table[], flags: BenchFlags): void => {
  if (flags.json) return console.log(JSON.stringify(tables, undefined, 2))
  for (const table of tables) console.log(flags.markdown ? renderMarkdown(table) : renderTable(table))
}

const program = new Command('bench')
  .description('Measures the decisions and the router; every run is seeded.')
  .argument('<name>', `one of ${Object.keys(benches).join(', ')}`)
  .option('--fast', 'smaller sizes, under a minute', false)
  .option('--seed <number>', 'seed of the run', parseSeed, DEFAULT_SEED)
  .option('--only <name>', 'only this deployment or size, where a bench has several')
  .option('--json', 'print JSON', false)
  .option('--markdown', 'print Markdown', false)
  .action(async (name: string, flags: BenchFlags) => {
    const load = benches[name]
    if (load === undefined) return program.error(`no bench is called ${name}; there are ${Object.keys(benches).join(', ')}`)
    const bench = await load()
    printTables(await bench({ fast: flags.fast, seed: flags.seed, ...(flags.only === undefined ? {} : { only: flags.only }) }), flags)
  })

await program.parseAsync()
