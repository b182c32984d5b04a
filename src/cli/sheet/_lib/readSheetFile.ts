/** Reads a sheet from a file and prints every problem with its line and column. */
import { parseSheet } from '../../../decisions/parseSheet/index.js'
import type { Result, Sheet, SheetProblem } from '../../../types/index.js'
import type { CommandEnvironment } from '../../_lib/commandEnvironment.js'
import { reportUsageError } from '../../_lib/platformSession.js'
import { exitCodes } from '../../exitCodes.js'

export type SheetFile = { readonly text: string, readonly parsed: Result<Sheet, readonly SheetProblem[]> }

export const readSheetFile = (environment: CommandEnvironment, path: string, json = false): SheetFile | undefined => {
  const text = readFile(environment, path)
  if (text === undefined) return undefined
  const parsed = parseSheet(text)
  if (!parsed.ok) reportProblems(environment, path, parsed.error, json)
  return { text, parsed }
}

const readFile = (environment: CommandEnvironment, path: string): string | undefined => {
  try {
    return environment.readText(path)
  } catch (error) {
    return reportUsageError(environment, `${path} cannot be read: ${error instanceof Error ? error.message : String(error)}`)
  }
}

const reportProblems = (environment: CommandEnvironment, path: string, problems: readonly SheetProblem[], json: boolean): void => {
  environment.setExitCode(exitCodes.failure)
  if (json) return environment.print(JSON.stringify({ kind: 'problems', problems }))
  for (const { line, column, message } of problems) environment.printError(`${path}:${line}:${column}: ${message}`)
  environment.printError(`${problems.length} ${problems.length === 1 ? 'problem' : 'problems'}; nothing was applied`)
}
