/** Log files as the commands read them. */
import type { LogRecord } from '../../decisions/explainRequest/index.js'
import { parseLogLine } from '../../decisions/parseLogLine/index.js'
import type { CommandEnvironment } from './commandEnvironment.js'

/** Reads the records of files, in the order of the files; lines that are none are passed over. */
export const readLogRecords = (environment: Pick<CommandEnvironment, 'readText'>, files: readonly string[]): readonly LogRecord[] =>
  files
    .flatMap((file) => environment.readText(file).split('\n'))
    .map(parseLogLine)
    .filter((record) => record !== undefined)
