/** `dotterelspoke drain`: stops new work for one backend server through a configuration change. */
import { Command } from 'commander'
import { editPlannedStop, type DrainEdit } from '../../decisions/editPlannedStop/index.js'
import type { Rollout } from '../../decisions/evaluateRollout/index.js'
import { parseIsoTime } from '../../kernel/index.js'
import type { ApplyOutcome } from '../../services/configurationStore/index.js'
import type { BackendServerState, NodeStatus } from '../../types/index.js'
import { findHighestGeneration, queryRouters } from '../_lib/queryRouters.js'
import { createProcessEnvironment, type CommandEnvironment } from '../_lib/commandEnvironment.js'
import { addOperatorFlag, addPlatformFlags, addRouterFlags, readOperatorName, reportUsageError, withPlatform, type PlatformFlags, type PlatformSession, type RouterFlags } from '../_lib/platformSession.js'
import { renderRollout } from '../_lib/render.js'
import { reportOutcome } from '../_lib/reportOutcome.js'
import { waitForRollout } from '../_lib/waitForRollout.js'
import { exitCodes } from '../exitCodes.js'

type DrainFlags = PlatformFlags & RouterFlags & {
  readonly as?: string
  readonly startsAt?: string
  readonly endsAt?: string
  readonly cancel?: boolean
  readonly wait?: string
}

/** Edits of different records commute, so an edit that met a conflict is planned again on the new generation. This many conflicts in a row point to another fault. */
const MAXIMUM_ATTEMPTS = 5
const MAXIMUM_WAIT_SECONDS = 86_400

const STATES_WITHOUT_NEW_WORK: ReadonlySet<BackendServerState> = new Set(['leaving', 'unreachable'])

/**
 * Creates the command.
 *
 * @param environment - Access to the process; the real process by default.
 * @returns The command for the program.
 *
 * @example
 * await createDrainCommand().parseAsync(['model-3', '--as', 'jana'], { from: 'user' })
 */
export const createDrainCommand = (environment: CommandEnvironment = createProcessEnvironment()): Command => {
  const command = new Command('drain')
    .description('Stops new work for a backend server; requests in flight run to their end')
    .argument('<backendServer>', 'name in the sheet')
    .option('--starts-at <time>', 'ISO 8601 with offset; now by default')
    .option('--ends-at <time>', 'ISO 8601 with offset; without it the drain lasts until cancelled')
    .option('--cancel', 'end the drain')
    .option('--wait <seconds>', 'wait until every router has it in force and the last request there has ended')
  return addRouterFlags(addOperatorFlag(addPlatformFlags(command)))
    .addHelpText('after', '\nExample:\n  dotterelspoke drain model-3 --as jana --wait 600 --operator-port 9000\n\nA later sheet without the drain\'s row ends the drain; `sheet apply` says so.\n\nExit codes: 0 accepted (with --wait: drained), 1 nothing to drain or cancel, 2 wrong settings, 3 lost the race too often,\n4 platform unavailable and surely not accepted, 5 outcome unknown, 6 accepted, but not confirmed as drained in time.')
    .action((backendServer: string, flags: DrainFlags) => runDrain(environment, backendServer, flags))
}

const runDrain = async (environment: CommandEnvironment, backendServer: string, flags: DrainFlags): Promise<void> => {
  const operator = readOperatorName(environment, flags)
  const edit = readEdit(environment, backendServer, flags)
  const wait = flags.wait === undefined ? 0 : Number(flags.wait)
  if (!(wait >= 0 && wait <= MAXIMUM_WAIT_SECONDS)) return reportUsageError(environment, `--wait must be seconds from 0 to ${MAXIMUM_WAIT_SECONDS}`)
  if (operator === undefined || edit === undefined) return
  await withPlatform(environment, flags, async (session) => {
    const outcome = await applyEdit(environment, flags, session, edit, operator)
    if (outcome === undefined) return
    const { text, exitCode } = reportOutcome(outcome)
    environment.setExitCode(exitCode)
    environment.print(flags.json ? JSON.stringify(outcome) : text)
    if (exitCode === exitCodes.success && flags.wait !== undefined) await waitUntilDrained(environment, flags, session, edit, outcome, wait)
  })
}

const readEdit = (environment: CommandEnvironment, backendServer: string, flags: DrainFlags): DrainEdit | undefined => {
  if (flags.cancel) return { kind: 'cancel', backendServer }
  const startsAt = flags.startsAt === undefined ? environment.clock.wallTime() : parseIsoTime(flags.startsAt)
  const endsAt = flags.endsAt === undefined ? undefined : parseIsoTime(flags.endsAt)
  const hasInvalidTime = startsAt === undefined || (flags.endsAt !== undefined && endsAt === undefined)
  if (hasInvalidTime) return reportUsageError(environment, 'times must be ISO 8601 with their offset, such as 2026-03-02T22:00:00+01:00')
  return { kind: 'start', backendServer, startsAt, ...(endsAt === undefined ? {} : { endsAt }) }
}

/** Returns `undefined` if the edit was refused and the reason has been printed. */
const applyEdit = async (environment: CommandEnvironment, flags: DrainFlags, { platform, store }: PlatformSession, edit: DrainEdit, operator: string): Promise<ApplyOutcome | undefined> => {
  let outcome: ApplyOutcome | undefined
  for (let attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt += 1) {
    const current = await store.readCurrent()
    if (!current.ok) return current.error
    if (current.value === undefined) return reportEditError(environment, 'no sheet has been applied yet')
    const sheet = editPlannedStop(current.value.sheet, edit)
    if (!sheet.ok) return reportEditError(environment, sheet.error.message)
    const { answers } = await queryRouters(environment, flags, platform)
    outcome = await store.applySheet({
      sheet: sheet.value,
      plannedAgainst: current.value.root.generation,
      appliedBy: operator,
      applyId: environment.random.nextId(),
      action: `drain ${edit.kind} ${edit.backendServer}`,
      fleetGeneration: findHighestGeneration(answers)
    })
    if (outcome.kind !== 'conflict') return outcome
  }
  return outcome
}

const reportEditError = (environment: CommandEnvironment, message: string): undefined => {
  environment.printError(message)
  environment.setExitCode(exitCodes.failure)
  return undefined
}

/**
 * A router that did not answer may have requests in flight, and a router that
 * has not applied the drain may send more. So every router must answer, report
 * the backend server as leaving or unreachable, and have nothing in flight to it.
 */
const isDrained = (statuses: readonly NodeStatus[], { nodes }: Rollout, backendServer: string): boolean => {
  const isConfirmedByAll = nodes.every(({ state }) => state === 'inForce' || state === 'gone')
  const isOutOfRotation = statuses.every(({ backendServers }) => backendServers.some((server) => server.backendServer === backendServer && STATES_WITHOUT_NEW_WORK.has(server.state)))
  return isConfirmedByAll && isOutOfRotation && countInFlight(statuses, backendServer) === 0
}

const countInFlight = (statuses: readonly NodeStatus[], backendServer: string): number => statuses
  .flatMap(({ backendServers }) => backendServers)
  .filter((server) => server.backendServer === backendServer)
  .reduce((sum, { ownInFlight }) => sum + ownInFlight, 0)

const waitUntilDrained = async (environment: CommandEnvironment, flags: DrainFlags, { platform }: PlatformSession, edit: DrainEdit, outcome: ApplyOutcome, waitSeconds: number): Promise<void> => {
  if (outcome.kind !== 'applied' && outcome.kind !== 'unchanged') return
  const isDone = (statuses: readonly NodeStatus[], rollout: Rollout): boolean => edit.kind === 'cancel' || isDrained(statuses, rollout, edit.backendServer)
  const result = await waitForRollout(environment, flags, platform, { generation: outcome.generation, waitSeconds, isDone })
  const inFlight = countInFlight(result.statuses, edit.backendServer)
  if (flags.json) environment.print(JSON.stringify({ rollout: result.rollout, inFlight, isDone: result.isDone }))
  else environment.print(`${renderRollout(result.rollout)}\n${describeDrain(edit, inFlight, result.statuses.length, result.isDone)}`)
  if (!result.isDone) environment.setExitCode(exitCodes.notInForce)
}

const describeDrain = (edit: DrainEdit, inFlight: number, answeredRouters: number, isDone: boolean): string => {
  if (edit.kind === 'cancel') return isDone ? 'the drain has ended everywhere' : 'the end of the drain is NOT confirmed everywhere'
  if (isDone) return `drained: no request in flight to ${edit.backendServer} from any router`
  return `NOT confirmed as drained: ${inFlight} requests in flight to ${edit.backendServer} from the ${answeredRouters} routers that answered`
}
