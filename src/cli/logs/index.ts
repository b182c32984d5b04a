/** `dotterelspoke logs`: summarizes all requests in the logs of the nodes. */
import { Command } from 'commander'
import { summarizeLog, type LogSummary } from '../../decisions/summarizeLog/index.js'
import { formatIsoTime } from '../../kernel/index.js'
import type { CommandEnvironment } from '../_lib/commandEnvironment.js'
import { parsePositiveNumber } from '../_lib/parseNumber.js'
import { readLogRecords } from '../_lib/readLogRecords.js'
import { escapeControlCharacters, renderTable } from '../_lib/render.js'
import { exitCodes } from '../exitCodes.js'

const DEFAULT_PERIOD_SECONDS = 1
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
