/** `dotterelspoke audit`: lists configuration changes with their operator, time and outcome. */
import { Command } from 'commander'
import { createProcessEnvironment, type CommandEnvironment } from '../_lib/commandEnvironment.js'
import { addPlatformFlags, reportUsageError, withPlatform, type PlatformFlags } from '../_lib/platformSession.js'
import { renderAudit } from '../_lib/render.js'
import { exitCodes } from '../exitCodes.js'

type AuditFlags = PlatformFlags & { readonly limit: string }

const DEFAULT_LIMIT = '20'
const MAXIMUM_LIMIT = 1_000

/**
 * Creates the command.
 *
 * @param environment - Access to the process; the real process by default.
 * @returns The command for the program.
 *
 * @example
 * await createAuditCommand().parseAsync(['--limit', '5'], { from: 'user' })
 */
export const createAuditCommand = (environment: CommandEnvironment = createProcessEnvironment()): Command => addPlatformFlags(new Command('audit'))
  .description('Lists changes of the configuration, accepted and refused, oldest first')
  .option('--limit <count>', `how many of the latest to list, up to ${MAXIMUM_LIMIT}`, DEFAULT_LIMIT)
  .addHelpText('after', '\nExample:\n  dotterelspoke audit --platform http://10.0.0.2:7000 --limit 5\n\nAn entry that stays "attempted" belongs to an operator whose reply was lost or whose machine stopped;\n`sheet history` tells whether its apply id was accepted, and the next change settles the entry.\n\nExit codes: 0 listed, 2 wrong settings, 4 platform unavailable.')
  .action((flags: AuditFlags) => {
    const limit = /^\d+$/.test(flags.limit) ? Number(flags.limit) : NaN
    if (!(limit >= 1 && limit <= MAXIMUM_LIMIT)) return reportUsageError(environment, `--limit "${flags.limit}" must be a whole number from 1 to ${MAXIMUM_LIMIT}`)
    return withPlatform(environment, flags, async ({ auditTrail }) => {
      const listing = await auditTrail.read(limit)
      if (!listing.ok) {
        environment.printError(`the audit trail cannot be read: the platform is unavailable: ${listing.error.kind}`)
        return environment.setExitCode(exitCodes.unavailable)
      }
      const { entries, unreadable } = listing.value
      if (flags.json) return environment.print(JSON.stringify(listing.value))
      environment.print(entries.length === 0 ? 'no changes yet' : renderAudit(entries))
      if (unreadable > 0) environment.printError(`${unreadable} entries could not be read`)
    })
  })
