/** `dotterelspoke status`: prints a summary of the fleet. */
import { Command } from 'commander'
import { summarizeFleet, type AccountWeights, type FleetSummary } from '../../decisions/summarizeFleet/index.js'
import type { ConfigurationStore } from '../../services/configurationStore/index.js'
import type { NodeStatus } from '../../types/index.js'
import { queryRouters, type RouterStatuses } from '../_lib/queryRouters.js'
import { createProcessEnvironment, type CommandEnvironment } from '../_lib/commandEnvironment.js'
import { addPlatformFlags, addRouterFlags, withPlatform, type PlatformFlags, type RouterFlags } from '../_lib/platformSession.js'
import { escapeControlCharacters, renderTable } from '../_lib/render.js'
import { exitCodes } from '../exitCodes.js'

const countLiveMembers = (node: NodeStatus): string => {
  const live = node.members.filter(({ state }) => state === 'live').length
  return `${live} of ${node.members.length}`
}

const renderNodes = (nodes: readonly NodeStatus[]): string => renderTable(
  ['node', 'availabilityZone', 'ready', 'generation', 'peers live', 'open'],
  nodes.map((node) => [escapeControlCharacters(node.nodeId), node.availabilityZone, node.ready ? 'yes' : 'no', String(node.generation), countLiveMembers(node), String(node.ledger.open)])
)

const renderBackendServers = ({ backendServers }: FleetSummary): string => renderTable(
  ['backendServer', 'state', 'in flight', 'routers that see it otherwise'],
  backendServers.map(({ backendServer, state, isDrained, inFlight, dissenting }) =>
    [escapeControlCharacters(backendServer), isDrained ? 'drained' : state, String(inFlight), dissenting.map(escapeControlCharacters).join(', ')])
)

const describeOverShare = (isOverShare: boolean | undefined): string => {
  if (isOverShare === undefined) return '?'
  return isOverShare ? 'yes' : 'no'
}

const renderAccounts = ({ accounts }: FleetSummary): string => renderTable(
  ['clientAccount', 'recent work (tokens)', 'over its share'],
  accounts.map(({ clientAccount, tokens, isOverShare }) => [escapeControlCharacters(clientAccount), String(Math.round(tokens)), describeOverShare(isOverShare)])
)

const renderLedger = ({ ledger, unaccounted }: FleetSummary): string => {
  const { accepted, complete, refused, unknown, open } = ledger
  const sum = `accepted ${accepted} = complete ${complete} + refused ${refused} + unknown ${unknown} + open ${open}`
  return unaccounted === 0 ? sum : `${sum}; ALARM: ${unaccounted} requests stand in no outcome`
}

/** Reads the weights of the client accounts; without the platform they are unknown, and only the shares are missing from the status. */
const readWeights = async (store: ConfigurationStore): Promise<AccountWeights | undefined> => {
  const current = await store.readCurrent()
  if (!current.ok || current.value === undefined) return undefined
  return new Map(current.value.sheet.clientAccounts.map(({ name, weight }) => [name, weight]))
}

const renderUnreachable = ({ answers }: RouterStatuses): readonly string[] =>
  answers.flatMap((answer) => answer.kind === 'unreachable' ? [`${answer.url} did not answer: ${escapeControlCharacters(answer.message)}`] : [])

const showStatus = (environment: CommandEnvironment, routerStatuses: RouterStatuses, weights: AccountWeights | undefined, isJson: boolean): void => {
  const summary = summarizeFleet(routerStatuses.statuses, weights)
  const unreachable = renderUnreachable(routerStatuses)
  if (isJson) environment.print(JSON.stringify({ nodes: routerStatuses.statuses, unreachable, ...summary }))
  else if (routerStatuses.statuses.length > 0) environment.print([renderNodes(routerStatuses.statuses), renderBackendServers(summary), renderAccounts(summary), renderLedger(summary)].join('\n'))
  for (const line of unreachable) environment.printError(line)
  if (routerStatuses.answers.length === 0) environment.printError('no router was asked: give --router or --operator-port')
  const isWhole = routerStatuses.statuses.length > 0 && unreachable.length === 0 && summary.unaccounted === 0
  environment.setExitCode(isWhole ? exitCodes.success : exitCodes.failure)
}

/**
 * Creates the command.
 *
 * @param environment - Access to the process; the real process by default.
 * @returns The command for the program.
 *
 * @example
 * await createStatusCommand().parseAsync(['--router', 'http://127.0.0.1:8081'], { from: 'user' })
 */
export const createStatusCommand = (environment: CommandEnvironment = createProcessEnvironment()): Command => addRouterFlags(addPlatformFlags(new Command('status')))
  .description('Shows routers, backend servers with load and state, the accounts that use the most, and the sum of outcomes')
  .addHelpText('after', '\nExample:\n  dotterelspoke status --platform http://10.0.0.2:7000 --operator-port 8081\n\nExit codes: 0 every router answered and each request is accounted for, 1 otherwise, 2 wrong settings.')
  .action((flags: PlatformFlags & RouterFlags) => withPlatform(environment, flags, async ({ platform, store }) => {
    const [routerStatuses, weights] = await Promise.all([queryRouters(environment, flags, platform), readWeights(store)])
    showStatus(environment, routerStatuses, weights, flags.json === true)
  }))
