/** Reads log files for the commands. */
import type { LogRecord } from '../../decisions/explainRequest/index.js'
import { parseLogLine } from '../../decisions/parseLogLine/index.js'
import type { CommandEnvironment } from './commandEnvironment.js'

/** Reads the records of the files in the given order and skips lines that are not log records. */
export const readLogRecords = (environment: Pick<CommandEnvironment, 'readText'>, files: readonly string[]): readonly LogRecord[] =>
  files
    .flatMap((file) => environment.readText(file).split('\n'))
    .map(parseLogLine)
    .filter((record) => record !== undefined)
