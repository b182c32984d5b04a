/** `dotterelspoke emulate`: runs a stand-in of the platform or of a backend server as a process. */
import { Command } from 'commander'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import type { EmulatedServer } from '../../emulator/_lib/listen.js'
import { DEFAULT_MODEL_ENGINE_OPTIONS } from '../../emulator/createModelEngine/index.js'
import { createModelEngineServer } from '../../emulator/createModelEngineServer/index.js'
import { createPlainServiceServer } from '../../emulator/createPlainServiceServer/index.js'
import { createPlatformServer } from '../../emulator/createPlatformServer/index.js'
import { parseNonNegativeNumber, parsePort, parsePositiveInteger } from '../_lib/parseNumber.js'

type ListenFlags = { readonly host: string, readonly port: number }

type EngineFlags = ListenFlags & {
  readonly slots: number
  readonly maximumWaiting: number
  readonly prefillRate: number
  readonly decodeInterval: number
  readonly decodeIntervalPerRequest: number
  readonly cacheTokens: number
  readonly loadLag: number
  readonly grace: number
}

type ServiceFlags = ListenFlags & { readonly delay: number, readonly slots: number, readonly loadLag: number }

const EXAMPLES = `
Each prints one line of JSON when it listens, and stops on SIGTERM or SIGINT:
  {"kind":"engine","listening":"http://127.0.0.1:41873","control":"http://127.0.0.1:38211"}

Examples:
  dotterelspoke emulate platform --port 7000
  dotterelspoke emulate engine --slots 8 --cache-tokens 50000
  dotterelspoke emulate service --delay 20
  curl -X POST http://127.0.0.1:38211/faults -H 'content-type: application/json' \\
    -d '{"fault":"cutAnswer","count":1,"after":5}'

docs/INTERFACES.md lists the faults of each.
`

/**
 * Creates the command `emulate` with one subcommand for each stand-in.
 *
 * @returns A command to add to the program.
 *
 * @example
 * await createEmulateCommand().parseAsync(['platform', '--port', '7000'], { from: 'user' })
 */
export const createEmulateCommand = (): Command =>
  new Command('emulate')
    .description('run a stand-in of the platform or of a backend server, for tests and trials')
    .addHelpText('after', EXAMPLES)
    .addCommand(createPlatformCommand())
    .addCommand(createEngineCommand())
    .addCommand(createServiceCommand())

const createPlatformCommand = (): Command =>
  addListenOptions(new Command('platform'))
    .description('a versioned object store in memory, with watches and a VM list')
    .addHelpText('after', '\nExample:\n  dotterelspoke emulate platform --port 7000')
    .action(async ({ host, port }: ListenFlags) => {
      await run('platform', createPlatformServer({ clock: createSystemClock(), host, port }))
    })

const createEngineCommand = (): Command => {
  const defaults = DEFAULT_MODEL_ENGINE_OPTIONS
  return addListenOptions(new Command('engine'))
    .description('a model engine that batches, caches prefixes and streams; its answers follow from the prompt')
    .addHelpText('after', '\nExample:\n  dotterelspoke emulate engine --slots 8 --cache-tokens 50000')
    .option('--slots <count>', 'requests in the batch at once', parsePositiveInteger, defaults.slots)
    .option('--maximum-waiting <count>', 'requests that may wait for a slot', parsePositiveInteger, defaults.maximumWaiting)
    .option('--prefill-rate <tokens>', 'prompt tokens a second', parseNonNegativeNumber, defaults.prefillTokensPerSecond)
    .option('--decode-interval <ms>', 'milliseconds between tokens of a request alone in the batch', parseNonNegativeNumber, defaults.decodeIntervalMs)
    .option('--decode-interval-per-request <ms>', 'milliseconds that each further request adds', parseNonNegativeNumber, defaults.decodeIntervalPerRequestMs)
    .option('--cache-tokens <count>', 'tokens that the prefix cache holds', parsePositiveInteger, defaults.cacheTokens)
    .option('--load-lag <ms>', 'milliseconds by which the load report is late', parseNonNegativeNumber, defaults.loadLagMs)
    .option('--grace <ms>', 'milliseconds for which a stream that nobody reads is kept', parseNonNegativeNumber, defaults.graceMs)
    .action(async (flags: EngineFlags) => {
      const engine = {
        slots: flags.slots,
        maximumWaiting: flags.maximumWaiting,
        prefillTokensPerSecond: flags.prefillRate,
        decodeIntervalMs: flags.decodeInterval,
        decodeIntervalPerRequestMs: flags.decodeIntervalPerRequest,
        cacheTokens: flags.cacheTokens,
        loadLagMs: flags.loadLag,
        graceMs: flags.grace
      }
      await run('engine', createModelEngineServer({ clock: createSystemClock(), host: flags.host, port: flags.port, engine }))
    })
}

const createServiceCommand = (): Command =>
  addListenOptions(new Command('service'))
    .description('a plain service that records orders and looks up stock')
    .addHelpText('after', '\nExample:\n  dotterelspoke emulate service --delay 20')
    .option('--delay <ms>', 'milliseconds that each call takes', parseNonNegativeNumber, 5)
    .option('--slots <count>', 'calls at once', parsePositiveInteger, 256)
    .option('--load-lag <ms>', 'milliseconds by which the load report is late', parseNonNegativeNumber, 250)
    .action(async ({ host, port, delay, slots, loadLag }: ServiceFlags) => {
      await run('service', createPlainServiceServer({ clock: createSystemClock(), host, port, delayMs: delay, slots, loadLagMs: loadLag }))
    })

const addListenOptions = (command: Command): Command =>
  command
    .option('--host <address>', 'IP number to listen on', '127.0.0.1')
    .option('--port <number>', 'port to listen on; 0 takes a free one', parsePort, 0)

const run = async (kind: string, starting: Promise<EmulatedServer>): Promise<void> => {
  const server = await starting
  const stopped = new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve)
    process.once('SIGINT', resolve)
  })
  process.stdout.write(`${JSON.stringify({ kind, listening: server.url, control: server.controlUrl })}\n`)
  await stopped
  await server.close()
  // Pending timers of aborted jobs would keep the process alive.
  process.exit(0)
}
