import { Command } from 'commander'
import { version } from '../../version.js'
import { createProcessEnvironment } from '../_lib/commandEnvironment.js'
import { createAuditCommand } from '../audit/index.js'
import { createDemoCommand } from '../demo/index.js'
import { createDrainCommand } from '../drain/index.js'
import { createEmulateCommand } from '../emulate/index.js'
import { exitCodes } from '../exitCodes.js'
import { createExplainCommand } from '../explain/index.js'
import { createLoadCommand } from '../load/index.js'
import { createLogsCommand } from '../logs/index.js'
import { createRouterCommand } from '../router/index.js'
import { createSettingsCommand } from '../settings/index.js'
import { createSheetCommand } from '../sheet/index.js'
import { createStatusCommand } from '../status/index.js'

const createVersionCommand = (): Command => new Command('version')
  .description('Prints the version')
  .addHelpText('after', '\nExample:\n  dotterelspoke version')
  .action(() => { console.log(version) })

/** Commander exits with 1 on a usage error; this program exits with 2. */
const overrideExitCodes = (command: Command): void => {
  command.exitOverride((error) => process.exit(error.exitCode === 0 ? exitCodes.success : exitCodes.usage))
  command.commands.forEach(overrideExitCodes)
}

/**
 * Creates the program with all its commands.
 *
 * @returns The program, ready to parse arguments.
 *
 * @example
 * await createProgram().parseAsync(['node', 'dotterelspoke', 'version'])
 */
export const createProgram = (): Command => {
  const environment = createProcessEnvironment()
  const program = new Command('dotterelspoke')
    .description('A router fleet for model-backed applications whose chats return after pauses')
    .version(version)
    .showHelpAfterError()
    .addCommand(createAuditCommand(environment))
    .addCommand(createDemoCommand())
    .addCommand(createDrainCommand(environment))
    .addCommand(createEmulateCommand())
    .addCommand(createExplainCommand(environment))
    .addCommand(createLoadCommand())
    .addCommand(createLogsCommand(environment))
    .addCommand(createRouterCommand())
    .addCommand(createSettingsCommand())
    .addCommand(createSheetCommand(environment))
    .addCommand(createStatusCommand(environment))
    .addCommand(createVersionCommand())
  overrideExitCodes(program)
  return program
}
