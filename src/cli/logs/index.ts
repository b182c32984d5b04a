/** `dotterelspoke logs`: summarizes all requests in the logs of the nodes. */
import { Command } from 'commander'
import { summarizeLoads, type LoadSummary } from '../../decisions/summarizeLoads/index.js'
import { summarizeLog, type LogSummary } from '../../decisions/summarizeLog/index.js'
import { formatIsoTime } from '../../kernel/index.js'
import type { CommandEnvironment } from '../_lib/commandEnvironment.js'
import { parsePositiveNumber } from '../_lib/parseNumber.js'
import { readLogRecords } from '../_lib/readLogRecords.js'
import { escapeControlCharacters, renderTable } from '../_lib/render.js'
import { exitCodes } from '../exitCodes.js'

const DEFAULT_PERIOD_SECONDS = 1
const DEFAULT_LIMIT_FACTOR = 2
const DEFAULT_LIMIT_SLACK = 3
const DEFAULT_WINDOW_SECONDS = 5
const MS_PER_SECOND = 1_000
const BAR_CHARACTERS = 40

const renderOutcomes = ({ outcomes }: LogSummary): string => {
  const total = outcomes.reduce((sum, { requests }) => sum + requests, 0)
  return renderTable(
    ['outcome', 'reason', 'status', 'requests', 'share'],
    outcomes.map(({ outcome, reason, status, requests }) => [escapeControlCharacters(outcome), escapeControlCharacters(reason), escapeControlCharacters(status), String(requests), `${(100 * requests / total).toFixed(1)} %`])
  )
}

/** Renders complete requests as `#` and all others as `!`, on the same scale for all periods. */
const renderPeriods = ({ periods }: LogSummary): string => {
  const maximum = Math.max(...periods.map(({ complete, ended }) => complete + ended))
  const scale = (count: number): number => Math.ceil(BAR_CHARACTERS * count / maximum)
  return periods
    .map(({ from, complete, ended }) => `${formatIsoTime(from)}  ${'#'.repeat(scale(complete))}${'!'.repeat(scale(ended))}  ${complete} complete, ${ended} not`)
    .join('\n')
}

const renderOmittedLines = ({ leftOut }: LogSummary): readonly string[] =>
  [...leftOut].map(([event, count]) => `${count} lines of "${escapeControlCharacters(event)}" were left out because of their bound`)

const createSummaryCommand = (environment: CommandEnvironment): Command => new Command('summary')
  .description('Counts the outcomes of requests by cause and over time')
  .argument('[files...]', 'log files of any number of nodes; - for standard input', ['-'])
  .option('--period <seconds>', 'length of one period of the plot, in seconds', parsePositiveNumber, DEFAULT_PERIOD_SECONDS)
  .addHelpText('after', '\nExample:\n  dotterelspoke logs summary --period 5 node-1.log node-2.log')
  .action((files: readonly string[], { period }: { readonly period: number }) => {
    const summary = summarizeLog(readLogRecords(environment, files), { periodMs: period * MS_PER_SECOND })
    if (summary.outcomes.length === 0) {
      environment.printError('no line ends a request')
      environment.setExitCode(exitCodes.failure)
      return
    }
    environment.print([renderOutcomes(summary), renderPeriods(summary), ...renderOmittedLines(summary)].join('\n'))
  })

const formatMilliseconds = (value: number | undefined): string => value === undefined ? '-' : value.toFixed(0)

const renderLoads = (summaries: readonly LoadSummary[]): string => renderTable(
  ['service', 'servers', 'sends', 'mean load', 'mean error', 'age of sums', 'oldest sum', 'without sum', 'over limit', 'worst window'],
  summaries.map((summary) => [
    escapeControlCharacters(summary.service),
    String(summary.backendServers),
    String(summary.sends),
    summary.meanLoad.toFixed(2),
    summary.meanError.toFixed(2),
    formatMilliseconds(summary.meanAgeMs),
    formatMilliseconds(summary.maximumAgeMs),
    String(summary.sendsWithoutSum),
    String(summary.sendsOverLimit),
    `${(100 * summary.worstShare).toFixed(1)} %`
  ])
)

const createLoadsCommand = (environment: CommandEnvironment): Command => new Command('loads')
  .description('Compares the loads that the nodes believed with those that their merged logs show')
  .argument('[files...]', 'log files of all nodes; - for standard input', ['-'])
  .option('--factor <multiple>', 'limit on the load of a server, as a multiple of the mean of its service', parsePositiveNumber, DEFAULT_LIMIT_FACTOR)
  .option('--slack <requests>', 'requests on top of that multiple', parsePositiveNumber, DEFAULT_LIMIT_SLACK)
  .option('--window <seconds>', 'length of the windows of which the worst is shown, in seconds', parsePositiveNumber, DEFAULT_WINDOW_SECONDS)
  .addHelpText('after', '\nAges are in milliseconds.\n\nExample:\n  dotterelspoke logs loads --factor 2 --slack 3 node-1.log node-2.log')
  .action((files: readonly string[], { factor, slack, window }: { readonly factor: number, readonly slack: number, readonly window: number }) => {
    const summaries = summarizeLoads(readLogRecords(environment, files), { factor, slack, windowMs: window * MS_PER_SECOND })
    if (summaries.length === 0) {
      environment.printError('no line tells of a request that was sent')
      environment.setExitCode(exitCodes.failure)
      return
    }
    environment.print(renderLoads(summaries))
  })

/**
 * Creates the command.
 *
 * @param environment - Access to the process.
 * @returns The command with its subcommands, for the program.
 *
 * @example
 * createLogsCommand(environment).name() // => 'logs'
 */
export const createLogsCommand = (environment: CommandEnvironment): Command => new Command('logs')
  .description('Reads the logs of nodes')
  .addCommand(createSummaryCommand(environment))
  .addCommand(createLoadsCommand(environment))
