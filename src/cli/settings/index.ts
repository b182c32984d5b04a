/** `dotterelspoke settings`: prints the settings of the router as a page for the docs. */
import { Command } from 'commander'
import { renderSettingsPage } from '../../settings/index.js'

/**
 * Creates the command.
 *
 * @returns The command for the program.
 */
export const createSettingsCommand = (): Command => new Command('settings')
  .description('Lists every setting of the router with unit, default and range')
  .option('--markdown', 'as Markdown (the only form; the default)')
  .addHelpText('after', '\nExample:\n  dotterelspoke settings --markdown > docs/SETTINGS.md')
  .action(() => { process.stdout.write(renderSettingsPage()) })
