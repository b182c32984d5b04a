/** `dotterelspoke explain`: prints the timeline of one request from the logs of all nodes that handled it. */
import { Command } from 'commander'
import { explainRequest, type LogRecord } from '../../decisions/explainRequest/index.js'
import { formatIsoTime } from '../../kernel/index.js'
import type { CommandEnvironment } from '../_lib/commandEnvironment.js'
import { readLogRecords } from '../_lib/readLogRecords.js'
import { escapeControlCharacters } from '../_lib/render.js'
import { exitCodes } from '../exitCodes.js'

const HIDDEN_FIELDS = new Set(['level', 'requestId'])

const renderFields = (fields: LogRecord['fields']): string => Object.entries(fields)
  .filter(([name]) => !HIDDEN_FIELDS.has(name))
  .map(([name, value]) => `${name}=${escapeControlCharacters(String(value))}`)
  .join(' ')

const renderRecord = ({ time, node, event, fields }: LogRecord): string =>
  `  ${formatIsoTime(time)}  ${escapeControlCharacters(node)}  ${escapeControlCharacters(event)}  ${renderFields(fields)}`

const renderSection = (title: string, records: readonly LogRecord[]): readonly string[] =>
  records.length === 0 ? [] : [title, ...records.map(renderRecord)]

/**
 * Creates the command.
 *
 * @param environment - Access to the process.
 * @returns The command, for the program.
 *
 * @example
 * createExplainCommand(environment).name() // => 'explain'
 */
export const createExplainCommand = (environment: CommandEnvironment): Command => new Command('explain')
  .description('Prints the story of one request from the logs of the nodes')
  .argument('<request-id>', 'the request\'s id, as its caller sent it')
  .argument('[files...]', 'log files of any number of nodes; - for standard input', ['-'])
  .addHelpText('after', '\nExample:\n  dotterelspoke explain 79a0491bc7f99364 node-1.log node-2.log')
  .action((requestId: string, files: readonly string[]) => {
    const timeline = explainRequest(readLogRecords(environment, files), requestId)
    if (timeline.steps.length === 0) {
      environment.printError(`no line has the request ${escapeControlCharacters(requestId)}`)
      environment.setExitCode(exitCodes.failure)
      return
    }
    environment.print([...renderSection('what the nodes believed', timeline.stateChanges), ...renderSection('what happened to the request', timeline.steps)].join('\n'))
  })
