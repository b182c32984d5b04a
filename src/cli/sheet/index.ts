/** `dotterelspoke sheet`: checks, plans and applies the operators' sheet, and shows where it is in force. */
import { Command } from 'commander'
import { createProcessEnvironment, type CommandEnvironment } from '../_lib/commandEnvironment.js'
import { createApplyCommand } from './_lib/applyCommand.js'
import { createCheckCommand, createHistoryCommand, createPlanCommand, createShowCommand, createStatusCommand } from './_lib/readOnlyCommands.js'

/**
 * Creates the command with its subcommands.
 *
 * @param environment - Access to the process; the real process by default.
 * @returns The command for the program.
 *
 * @example
 * await createSheetCommand().parseAsync(['check', 'sheet.csv'], { from: 'user' })
 */
export const createSheetCommand = (environment: CommandEnvironment = createProcessEnvironment()): Command => new Command('sheet')
  .description('Checks, plans and applies the sheet; shows where it is in force')
  .addCommand(createCheckCommand(environment))
  .addCommand(createPlanCommand(environment))
  .addCommand(createApplyCommand(environment))
  .addCommand(createStatusCommand(environment))
  .addCommand(createHistoryCommand(environment))
  .addCommand(createShowCommand(environment))
