/** Runs operator commands as separate processes against a running fleet. */
import type { Fleet } from './startFleet.js'
import { runCommand } from './startProcess.js'
import type { FinishedCommand } from './startProcess.js'

export const SECRETS = { DOTTERELSPOKE_FLEET_KEY: 'fleet key of the tests', DOTTERELSPOKE_OPERATOR_TOKEN: 'operator token of the tests' }

export const runOperatorCommand = (fleet: Fleet, operator: string, ...flags: readonly string[]): Promise<FinishedCommand> => runCommand(flags, {
  ...SECRETS,
  DOTTERELSPOKE_OPERATOR: operator,
  DOTTERELSPOKE_PLATFORM_URL: String(fleet.platform.process.ready['listening']),
  DOTTERELSPOKE_ROUTER_URLS: fleet.routers.map((router) => router.operator).join(',')
})
