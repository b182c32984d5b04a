/** Flags of the commands that use the platform and the routers, and the clients for both. */
import type { Command } from 'commander'
import { createOperatorClient, type OperatorClient } from '../../adapters/operatorClient/index.js'
import { createPlatformHttp } from '../../adapters/platformHttp/index.js'
import { computeSha256 } from '../../kernel/index.js'
import { createAuditTrail, type AuditTrail } from '../../services/auditTrail/index.js'
import { createConfigurationStore, type ConfigurationStore } from '../../services/configurationStore/index.js'
import type { Platform } from '../../types/index.js'
import { exitCodes } from '../exitCodes.js'
import type { CommandEnvironment } from './commandEnvironment.js'

export type PlatformFlags = { readonly platform?: string, readonly json?: boolean }

export type RouterFlags = {
  readonly router?: readonly string[]
  readonly operatorPort?: string
  readonly operatorTokenFile?: string
}

export type PlatformSession = {
  readonly platform: Platform
  readonly auditTrail: AuditTrail
  readonly store: ConfigurationStore
}

const PLATFORM_TIMEOUT_MS = 5_000
const ROUTER_TIMEOUT_MS = 3_000

export const addPlatformFlags = (command: Command): Command => command
  .option('--platform <url>', 'origin of the platform (DOTTERELSPOKE_PLATFORM_URL)')
  .option('--json', 'print JSON')

export const addRouterFlags = (command: Command): Command => command
  .option('--router <url>', 'operator port of a router, may be repeated (DOTTERELSPOKE_ROUTER_URLS, separated by commas)', (url: string, before: readonly string[] = []) => [...before, url])
  .option('--operator-port <port>', 'ask every router in the platform\'s VM list on this port (DOTTERELSPOKE_OPERATOR_PORT)')
  .option('--operator-token-file <path>', 'file with the operator token (DOTTERELSPOKE_OPERATOR_TOKEN holds the token itself)')

export const addOperatorFlag = (command: Command): Command => command
  .option('--as <name>', 'your name for the audit trail (DOTTERELSPOKE_OPERATOR)')

/** Prints what is wrong with a setting and sets the exit code of a usage error. */
export const reportUsageError = (environment: CommandEnvironment, message: string): undefined => {
  environment.printError(message)
  environment.setExitCode(exitCodes.usage)
  return undefined
}

/** Runs a command with a platform client, which is closed even if the command fails. */
export const withPlatform = async (environment: CommandEnvironment, flags: PlatformFlags, run: (session: PlatformSession) => Promise<void>): Promise<void> => {
  const url = flags.platform ?? environment.readVariable('DOTTERELSPOKE_PLATFORM_URL') ?? ''
  if (!URL.canParse(url)) return reportUsageError(environment, url === '' ? 'the platform is missing: give --platform or set DOTTERELSPOKE_PLATFORM_URL' : `--platform "${url}" is not a URL`)
  const platform = createPlatformHttp({ url: new URL(url).origin, timeoutMs: PLATFORM_TIMEOUT_MS })
  const auditTrail = createAuditTrail(platform)
  const store = createConfigurationStore({ platform, auditTrail, clock: environment.clock, random: environment.random, hashContent: computeSha256 })
  try {
    await run({ platform, auditTrail, store })
  } finally {
    await platform.close()
  }
}

export const readOperatorName = (environment: CommandEnvironment, flags: { readonly as?: string }): string | undefined => {
  const name = flags.as ?? environment.readVariable('DOTTERELSPOKE_OPERATOR') ?? ''
  return name === '' ? reportUsageError(environment, 'your name is missing: give --as or set DOTTERELSPOKE_OPERATOR') : name
}

export const createRouterClient = (environment: CommandEnvironment, flags: RouterFlags): OperatorClient => {
  const fromFile = flags.operatorTokenFile === undefined ? undefined : environment.readText(flags.operatorTokenFile).trim()
  return createOperatorClient({ operatorToken: fromFile ?? environment.readVariable('DOTTERELSPOKE_OPERATOR_TOKEN') ?? '', timeoutMs: ROUTER_TIMEOUT_MS })
}
