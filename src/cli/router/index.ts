/** `dotterelspoke router`: runs the router daemon of an entry VM. */
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { startRouter } from '../../daemon/startRouter/index.js'
import { formatEnvironmentVariable, formatFlag, parseRouterSettings, routerSettingDefinitions, type SettingDefinition, type SettingProblem, type SettingTexts } from '../../settings/index.js'
import { exitCodes } from '../exitCodes.js'

const describeSetting = (definition: SettingDefinition): string => {
  const defaultText = definition.defaultText === undefined || definition.defaultText === '' ? '' : `, default ${definition.defaultText}`
  return `${definition.description} (${definition.unit}, ${definition.range}${defaultText}; ${formatEnvironmentVariable(definition.name)})`
}

const addSettingOption = (command: Command, definition: SettingDefinition): void => {
  const flag = formatFlag(definition.name)
  const option = definition.secret === true ? `${flag}-file <path>` : `${flag} <value>`
  command.option(option, describeSetting(definition))
}

const readSecretFiles = (flags: SettingTexts): SettingTexts => {
  const secrets = routerSettingDefinitions.filter((definition) => definition.secret === true)
  const texts = secrets.flatMap((definition) => {
    const path = flags[`${definition.name}File`]
    return path === undefined ? [] : [[definition.name, readFileSync(path, 'utf8').trim()] as const]
  })
  return { ...flags, ...Object.fromEntries(texts) }
}

const formatProblem = (problem: SettingProblem): string =>
  problem.flag === '' ? `${problem.environmentVariable} ${problem.message}` : `${problem.flag} (${problem.environmentVariable}) ${problem.message}`

const runRouter = async (flags: SettingTexts): Promise<void> => {
  const settings = parseRouterSettings(readSecretFiles(flags), process.env)
  if (!settings.ok) {
    for (const problem of settings.error) console.error(formatProblem(problem))
    process.exitCode = exitCodes.usage
    return
  }
  const router = await startRouter(settings.value)
  const stop = (): void => { router.stop().catch((error: unknown) => { throw error }) }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  // Printed after the signal handlers are set: a process that reads this line
  // may signal the router at once, and without a handler the signal would cut
  // off requests in flight.
  console.log(JSON.stringify({ kind: 'router', nodeId: settings.value.nodeId, ...router.addresses }))
}

/**
 * Creates the command.
 *
 * @returns The command for the program.
 */
export const createRouterCommand = (): Command => {
  const command = new Command('router').description('Runs a router: the daemon on each entry VM')
  for (const definition of routerSettingDefinitions) addSettingOption(command, definition)
  return command
    .addHelpText('after', '\nExample:\n  DOTTERELSPOKE_FLEET_KEY=... DOTTERELSPOKE_OPERATOR_TOKEN=... dotterelspoke router \\\n    --node-id router-a1 --availability-zone venkov-a --platform-url http://127.0.0.1:7000\n\nIt prints its addresses as one JSON line when it is ready, and logs to standard error.\nExit codes: 0 stopped, 1 could not start, 2 wrong settings.')
    .action(runRouter)
}
