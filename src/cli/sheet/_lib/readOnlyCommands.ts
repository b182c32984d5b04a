/** `sheet check`, `plan`, `status`, `history` and `show`: the read-only commands. */
import { Command } from 'commander'
import { evaluateRollout } from '../../../decisions/evaluateRollout/index.js'
import { serializeSheet } from '../../../decisions/serializeSheet/index.js'
import type { StoreError } from '../../../services/configurationStore/index.js'
import type { AppliedGeneration, ConfigurationRoot, Sheet } from '../../../types/index.js'
import { findHighestGeneration, queryRouters } from '../../_lib/queryRouters.js'
import type { CommandEnvironment } from '../../_lib/commandEnvironment.js'
import { addPlatformFlags, addRouterFlags, withPlatform, type PlatformFlags, type PlatformSession, type RouterFlags } from '../../_lib/platformSession.js'
import { renderChanges, renderGeneration, renderHistory, renderRollout } from '../../_lib/render.js'
import { reportOutcome } from '../../_lib/reportOutcome.js'
import { exitCodes } from '../../exitCodes.js'
import { readSheetFile } from './readSheetFile.js'

const NOTHING_APPLIED = 'no sheet has been applied yet'

const printResult = (environment: CommandEnvironment, json: boolean | undefined, value: unknown, text: () => string): void =>
  environment.print(json === true ? JSON.stringify(value) : text())

const reportStoreError = (environment: CommandEnvironment, error: StoreError): void => {
  environment.printError(reportOutcome(error).text.replace('not accepted: ', ''))
  environment.setExitCode(exitCodes.unavailable)
}

const summarizeSheet = (sheet: Sheet): Readonly<Record<keyof Sheet, number>> => ({
  clientAccounts: sheet.clientAccounts.length,
  services: sheet.services.length,
  backendServers: sheet.backendServers.length,
  routes: sheet.routes.length,
  plannedStops: sheet.plannedStops.length
})

export const createCheckCommand = (environment: CommandEnvironment): Command => new Command('check')
  .description('Checks a sheet and prints every problem; talks to nobody')
  .argument('<file>', 'CSV file, or - for the standard input')
  .option('--json', 'print JSON')
  .addHelpText('after', '\nExample:\n  dotterelspoke sheet check sheet.csv\n\nExit codes: 0 sound, 1 the sheet has problems, 2 the file cannot be read.')
  .action((path: string, flags: { readonly json?: boolean }) => {
    const file = readSheetFile(environment, path, flags.json)
    if (file === undefined || !file.parsed.ok) return
    const counts = summarizeSheet(file.parsed.value)
    printResult(environment, flags.json, { kind: 'sound', ...counts }, () => `sound: ${Object.entries(counts).map(([list, count]) => `${count} ${list}`).join(', ')}`)
  })

export const createPlanCommand = (environment: CommandEnvironment): Command => addPlatformFlags(new Command('plan'))
  .description('Shows what a sheet would change, and the generation to apply it against')
  .argument('<file>', 'CSV file, or - for the standard input')
  .addHelpText('after', '\nExample:\n  dotterelspoke sheet plan sheet.csv --platform http://10.0.0.2:7000\n\nExit codes: 0 planned, 1 the sheet has problems, 2 wrong settings, 4 platform unavailable.')
  .action(async (path: string, flags: PlatformFlags) => {
    const parsed = readSheetFile(environment, path, flags.json)?.parsed
    if (parsed === undefined || !parsed.ok) return
    await withPlatform(environment, flags, async ({ store }) => {
      const planned = await store.planSheet(parsed.value)
      if (!planned.ok) return reportStoreError(environment, planned.error)
      const plan = planned.value
      const inForce = plan.inForce === undefined ? NOTHING_APPLIED : `in force: ${renderGeneration(plan.inForce)}`
      printResult(environment, flags.json, plan, () => `${renderChanges(plan.changes)}\n${inForce}\nto apply exactly this: sheet apply ${path} --against ${plan.plannedAgainst}`)
    })
  })

type StatusFlags = PlatformFlags & RouterFlags

export const createStatusCommand = (environment: CommandEnvironment): Command => addRouterFlags(addPlatformFlags(new Command('status')))
  .description('Shows which routers have the accepted generation in force, and why the others do not')
  .addHelpText('after', '\nExample:\n  dotterelspoke sheet status --platform http://10.0.0.2:7000 --operator-port 9000\n\nExit codes: 0 confirmed on every router, 2 wrong settings, 4 platform unavailable, 6 not confirmed everywhere.')
  .action((flags: StatusFlags) => withPlatform(environment, flags, (session) => showStatus(environment, flags, session)))

/** Without the platform, the highest generation that a router reports is used instead, and the sheet never counts as in force everywhere. */
const showStatus = async (environment: CommandEnvironment, flags: StatusFlags, { platform, store }: PlatformSession): Promise<void> => {
  const root = await store.readRoot()
  const accepted = root.ok ? root.value?.root : undefined
  const { answers, vms } = await queryRouters(environment, flags, platform)
  const reportedGeneration = findHighestGeneration(answers)
  const rollout = evaluateRollout(Math.max(accepted?.generation ?? 0, reportedGeneration), answers, vms)
  const problem = root.ok ? explainRoot(accepted, reportedGeneration) : `what was accepted last is not known: ${root.error.message}`
  const lines = [accepted === undefined ? '' : `accepted: ${renderGeneration(accepted)}`, renderRollout(rollout), problem ?? '']
  printResult(environment, flags.json, { accepted, rollout, problem }, () => lines.filter((line) => line !== '').join('\n'))
  if (!root.ok) return environment.setExitCode(exitCodes.unavailable)
  environment.setExitCode(rollout.isInForceEverywhere && problem === undefined ? exitCodes.success : exitCodes.notInForce)
}

const explainRoot = (accepted: ConfigurationRoot | undefined, reportedGeneration: number): string | undefined => {
  if (accepted === undefined && reportedGeneration === 0) return NOTHING_APPLIED
  if ((accepted?.generation ?? 0) >= reportedGeneration) return undefined
  return `routers have generation ${reportedGeneration}, above the platform's ${accepted?.generation ?? 'none'}: was it restored from a backup? The next \`sheet apply\` goes above ${reportedGeneration}`
}

export const createHistoryCommand = (environment: CommandEnvironment): Command => addPlatformFlags(new Command('history'))
  .description('Lists the latest accepted generations, newest first')
  .addHelpText('after', '\nExample:\n  dotterelspoke sheet history --platform http://10.0.0.2:7000\n\nExit codes: 0 listed, 2 wrong settings, 4 platform unavailable.')
  .action((flags: PlatformFlags) => withPlatform(environment, flags, async ({ store }) => {
    const stored = await store.readRoot()
    if (!stored.ok) return reportStoreError(environment, stored.error)
    const generations: readonly AppliedGeneration[] = stored.value === undefined ? [] : [stored.value.root, ...stored.value.root.history]
    printResult(environment, flags.json, generations.map(({ generation, applyId, appliedBy, appliedAt, sheetHash }) => ({ generation, applyId, appliedBy, appliedAt, sheetHash })), () => generations.length === 0 ? NOTHING_APPLIED : renderHistory(generations))
  }))

export const createShowCommand = (environment: CommandEnvironment): Command => addPlatformFlags(new Command('show'))
  .description('Prints the accepted sheet as CSV in its canonical form')
  .addHelpText('after', '\nExample:\n  dotterelspoke sheet show --platform http://10.0.0.2:7000 > sheet.csv\n\nExit codes: 0 printed, 1 no sheet has been applied, 2 wrong settings, 4 platform unavailable.')
  .action((flags: PlatformFlags) => withPlatform(environment, flags, async ({ store }) => {
    const current = await store.readCurrent()
    if (!current.ok) return reportStoreError(environment, current.error)
    if (current.value === undefined) {
      environment.printError(NOTHING_APPLIED)
      return environment.setExitCode(exitCodes.failure)
    }
    const { root, sheet } = current.value
    printResult(environment, flags.json, { generation: root.generation, sheet }, () => serializeSheet(sheet).trimEnd())
  }))
