/** `sheet apply`: puts a sheet in force and, with `--wait`, waits until every router confirms it. */
import { Command } from 'commander'
import { isDrainName } from '../../../decisions/editPlannedStop/index.js'
import { computeSha256 } from '../../../kernel/index.js'
import type { ApplyOutcome } from '../../../services/configurationStore/index.js'
import type { Sheet, SheetChange, SheetProblem } from '../../../types/index.js'
import { findHighestGeneration, queryRouters } from '../../_lib/queryRouters.js'
import type { CommandEnvironment } from '../../_lib/commandEnvironment.js'
import { addOperatorFlag, addPlatformFlags, addRouterFlags, readOperatorName, reportUsageError, withPlatform, type PlatformFlags, type PlatformSession, type RouterFlags } from '../../_lib/platformSession.js'
import { renderRollout } from '../../_lib/render.js'
import { reportOutcome } from '../../_lib/reportOutcome.js'
import { waitForRollout } from '../../_lib/waitForRollout.js'
import { exitCodes } from '../../exitCodes.js'
import { readSheetFile } from './readSheetFile.js'

type ApplyFlags = PlatformFlags & RouterFlags & { readonly as?: string, readonly against?: string, readonly wait?: string, readonly applyId?: string }

type ApplyInput = { readonly sheet: Sheet, readonly operator: string, readonly applyId: string, readonly against?: number }

const MAXIMUM_WAIT_SECONDS = 3_600

export const createApplyCommand = (environment: CommandEnvironment): Command => {
  const command = new Command('apply')
    .description('Puts a sheet in force as the next generation, whole or not at all')
    .argument('<file>', 'CSV file, or - for the standard input')
    .option('--against <generation>', 'generation that the sheet was planned against (see `sheet plan`); by default the one in force now')
    .option('--wait <seconds>', 'wait until every router confirms the generation')
    .option('--apply-id <id>', 'id of an earlier apply whose outcome is unknown; it is not applied twice')
  return addRouterFlags(addOperatorFlag(addPlatformFlags(command)))
    .addHelpText('after', '\nExample:\n  dotterelspoke sheet apply sheet.csv --as jana --against 41 --wait 10 --operator-port 9000\n\nExit codes: 0 accepted (with --wait: in force everywhere), 1 the sheet has errors, 2 wrong settings,\n3 another change was accepted first, 4 platform unavailable and surely not accepted, 5 outcome unknown,\n6 accepted, but not confirmed on every router in time.')
    .action((file: string, flags: ApplyFlags) => runApply(environment, file, flags))
}

const runApply = async (environment: CommandEnvironment, path: string, flags: ApplyFlags): Promise<void> => {
  const operator = readOperatorName(environment, flags)
  const against = readCount(environment, '--against', flags.against, Number.MAX_SAFE_INTEGER)
  const wait = readCount(environment, '--wait', flags.wait, MAXIMUM_WAIT_SECONDS)
  if (operator === undefined || against === undefined || wait === undefined) return
  const file = readSheetFile(environment, path, flags.json)
  if (file === undefined) return
  const applyId = flags.applyId ?? environment.random.nextId()
  const { parsed, text } = file
  if (!parsed.ok) return recordRefusedSheet(environment, flags, { operator, applyId, text, problems: parsed.error })
  await withPlatform(environment, flags, async (session) => {
    const outcome = await apply(environment, flags, session, { sheet: parsed.value, operator, applyId, ...(against === 'none' ? {} : { against }) })
    printOutcome(environment, flags, outcome)
    if (outcome.kind === 'applied' || outcome.kind === 'unchanged') await confirmRollout(environment, flags, session, outcome, wait === 'none' ? undefined : wait)
  })
}

const readCount = (environment: CommandEnvironment, flag: string, text: string | undefined, maximum: number): number | 'none' | undefined => {
  if (text === undefined) return 'none'
  const count = /^\d+$/.test(text) ? Number(text) : NaN
  return count <= maximum ? count : reportUsageError(environment, `${flag} "${text}" must be a whole number up to ${maximum}`)
}

const apply = async (environment: CommandEnvironment, flags: ApplyFlags, { platform, store }: PlatformSession, { sheet, operator, applyId, against }: ApplyInput): Promise<ApplyOutcome> => {
  const root = against === undefined ? await store.readRoot() : undefined
  if (root !== undefined && !root.ok) return root.error
  const plannedAgainst = against ?? root?.value?.root.generation ?? 0
  const { answers } = await queryRouters(environment, flags, platform)
  return store.applySheet({ sheet, plannedAgainst, appliedBy: operator, applyId, action: 'sheet apply', fleetGeneration: findHighestGeneration(answers) })
}

const printOutcome = (environment: CommandEnvironment, flags: ApplyFlags, outcome: ApplyOutcome): void => {
  const { text, exitCode } = reportOutcome(outcome)
  environment.setExitCode(exitCode)
  if (flags.json) return environment.print(JSON.stringify(outcome))
  environment.print(text)
  if (outcome.kind !== 'applied') return
  for (const change of outcome.changes.filter(endsDrain)) environment.printError(`note: this sheet ends the drain of ${change.name}; its backend server gets new work again`)
}

/** A sheet that was exported before a drain lacks its row; applying the sheet would end the drain without notice. */
const endsDrain = ({ record, name, after }: SheetChange): boolean => record === 'plannedStops' && isDrainName(name) && after === undefined

type AcceptedOutcome = Extract<ApplyOutcome, { readonly kind: 'applied' | 'unchanged' }>

const confirmRollout = async (environment: CommandEnvironment, flags: ApplyFlags, { platform }: PlatformSession, { generation }: AcceptedOutcome, waitSeconds: number | undefined): Promise<void> => {
  if (waitSeconds === undefined) {
    if (!flags.json) environment.print('not confirmed on any router yet: see `sheet status`, or apply with --wait')
    return
  }
  const { rollout } = await waitForRollout(environment, flags, platform, { generation, waitSeconds })
  environment.print(flags.json ? JSON.stringify(rollout) : renderRollout(rollout))
  if (!rollout.isInForceEverywhere) environment.setExitCode(exitCodes.notInForce)
}

type RefusedSheet = { readonly operator: string, readonly applyId: string, readonly text: string, readonly problems: readonly SheetProblem[] }

/** Records a sheet with problems in the audit trail as a refused change, if the platform can be reached. */
const recordRefusedSheet = (environment: CommandEnvironment, flags: ApplyFlags, { operator, applyId, text, problems }: RefusedSheet): Promise<void> =>
  withPlatform(environment, flags, async ({ store, auditTrail }) => {
    const root = await store.readRoot()
    const generation = root.ok ? root.value?.root.generation ?? 0 : 0
    const first = problems[0]
    const recorded = await auditTrail.begin({
      applyId,
      operator,
      action: 'sheet apply',
      at: environment.clock.wallTime(),
      generationFrom: generation,
      generationTo: generation + 1,
      sheetHash: computeSha256(text),
      changes: [],
      changeCount: 0,
      outcome: 'refused',
      reason: `the sheet has ${problems.length} problems, the first at ${first?.line}:${first?.column}: ${first?.message}`
    })
    if (!recorded.ok) environment.printError(`the refusal could not be written to the audit trail: ${recorded.error.kind}`)
  })
