/** `dotterelspoke load`: sends a seeded open-loop load of multi-turn chats, plain calls and overnight work, and checks every answer. */
import { readFile } from 'node:fs/promises'
import { Command } from 'commander'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import type { LoadSummary } from '../../load/createLoadRecorder/index.js'
import { formatLoadSummary } from '../../load/formatLoadSummary/index.js'
import { DEFAULT_LOAD_PLAN, planLoad, type LoadPlanOptions } from '../../load/planLoad/index.js'
import { runLoad, type LoadProgress } from '../../load/runLoad/index.js'
import { parseNonNegativeNumber, parsePositiveInteger, parsePositiveNumber } from '../_lib/parseNumber.js'
import { exitCodes } from '../exitCodes.js'

/** Options of the load plan that a flag of the same name sets. */
type PlanFlags = Pick<LoadPlanOptions, 'rate' | 'accountSkew' | 'systemTokens' | 'questionTokens' | 'answerTokens' | 'model' | 'overnightModel' | 'lookupPath' | 'orderPath'>

type LoadFlags = PlanFlags & {
  readonly router: readonly string[]
  readonly key: readonly string[]
  readonly keyFile?: string
  readonly seed: number
  readonly duration: number
  readonly requests: number
  readonly chats: number
  readonly overnight: number
  readonly lookups: number
  readonly orders: number
  readonly returning: number
  readonly thinkTime: number
  readonly answerTime: number
  readonly turns: number
  readonly chatHints: boolean
  readonly timeout: number
  readonly maximumOpen: number
  readonly json?: boolean
}

const MILLISECONDS_PER_SECOND = 1000
const KEYS_VARIABLE = 'DOTTERELSPOKE_ACCOUNT_KEYS'

const HELP = `
Every answer is checked: it must be whole, and the one that the stand-ins of
"dotterelspoke emulate" give to that very request. Keys are taken from --key,
--key-file and ${KEYS_VARIABLE} (separated by commas); each is one client
account, and the first ones send most.

Exit codes: 0 no answer was broken or wrong (refusals are allowed), 1 some
was, 2 the flags cannot be used.

Examples:
  dotterelspoke load --router http://127.0.0.1:8080 --key k1 --rate 50 --duration 60
  dotterelspoke load --router http://127.0.0.1:8080 --router http://127.0.0.1:8081 \\
    --key-file keys.txt --seed 7 --requests 1000 --no-chat-hints --json
  dotterelspoke load --router http://127.0.0.1:8080 --key k1 --chats 0 --orders 1 --lookups 4
`

/**
 * Creates the command `load`.
 *
 * @returns A command to add to the program.
 *
 * @example
 * await createLoadCommand().parseAsync(['--router', url, '--key', key], { from: 'user' })
 */
export const createLoadCommand = (): Command => {
  const plan = DEFAULT_LOAD_PLAN
  return new Command('load')
    .description('send a planned load to routers and check every answer')
    .requiredOption('--router <url>', 'origin of a router; repeat for more, taken in turn', collect, [])
    .option('--key <key>', 'key of a client account; repeat for more', collect, [])
    .option('--key-file <path>', 'file with one key a line')
    .option('--seed <number>', 'the same seed plans the same load', parsePositiveInteger, 1)
    .option('--rate <number>', 'requests a second', parsePositiveNumber, plan.rate)
    .option('--duration <seconds>', 'seconds for which to send', parsePositiveNumber, plan.durationMs / MILLISECONDS_PER_SECOND)
    .option('--requests <count>', 'requests to send at most', parsePositiveInteger, plan.maximumRequests)
    .option('--account-skew <exponent>', 'Zipf exponent of the accounts; 0 is even', parseNonNegativeNumber, plan.accountSkew)
    .option('--chats <weight>', 'how often turns of chats come', parseNonNegativeNumber, plan.mix.chat)
    .option('--overnight <weight>', 'how often overnight work comes', parseNonNegativeNumber, plan.mix.overnight)
    .option('--lookups <weight>', 'how often stock lookups come', parseNonNegativeNumber, plan.mix.lookup)
    .option('--orders <weight>', 'how often orders come', parseNonNegativeNumber, plan.mix.order)
    .option('--returning <share>', 'share of chat requests that go on with a chat that is due', parseNonNegativeNumber, plan.returningShare)
    .option('--think-time <seconds>', 'mean pause between the turns of a chat', parsePositiveNumber, plan.meanThinkTimeMs / MILLISECONDS_PER_SECOND)
    .option('--answer-time <ms>', 'milliseconds a token that an answer is taken to last, before the pause', parseNonNegativeNumber, plan.answerTimePerTokenMs)
    .option('--turns <count>', 'turns of a chat at most', parsePositiveInteger, plan.maximumTurns)
    .option('--system-tokens <count>', 'tokens of the system prompt, alike within an account', parsePositiveInteger, plan.systemTokens)
    .option('--question-tokens <count>', 'tokens of a question, on average', parsePositiveInteger, plan.questionTokens)
    .option('--answer-tokens <count>', 'tokens of an answer, on average', parsePositiveInteger, plan.answerTokens)
    .option('--model <name>', 'model of the chats', plan.model)
    .option('--overnight-model <name>', 'model of the overnight work', plan.overnightModel)
    .option('--lookup-path <path>', 'path that lookups begin with', plan.lookupPath)
    .option('--order-path <path>', 'path of orders', plan.orderPath)
    .option('--no-chat-hints', 'do not send the chat hint of an answer back')
    .option('--timeout <seconds>', 'seconds that one request may take', parsePositiveNumber, 60)
    .option('--maximum-open <count>', 'open requests beyond which planned ones are skipped', parsePositiveInteger, 5000)
    .option('--json', 'print the sums as one JSON object')
    .addHelpText('after', HELP)
    .action(run)
}

const run = async (flags: LoadFlags): Promise<void> => {
  const keys = await readKeys(flags)
  if (keys.length === 0) return reportUsageError(`no key of a client account: give --key, --key-file or ${KEYS_VARIABLE}`)
  if (flags.chats + flags.overnight + flags.lookups + flags.orders === 0) return reportUsageError('every weight is 0: there is nothing to send')
  const controller = new AbortController()
  const stop = (): void => controller.abort()
  process.once('SIGINT', stop)
  process.once('SIGTERM', stop)
  const summary = await runLoad(planLoad(buildPlan(flags, keys.length), createSeededRandom(flags.seed)), {
    clock: createSystemClock(),
    routers: flags.router,
    keys,
    sendChatHints: flags.chatHints,
    timeoutMs: flags.timeout * MILLISECONDS_PER_SECOND,
    maximumOpen: flags.maximumOpen,
    onProgress: showProgress,
    signal: controller.signal
  })
  process.off('SIGINT', stop)
  process.off('SIGTERM', stop)
  process.stdout.write(`${flags.json === true ? JSON.stringify(summary) : formatLoadSummary(summary)}\n`)
  process.exitCode = hasBadAnswer(summary) ? exitCodes.failure : exitCodes.success
}

const buildPlan = (flags: LoadFlags, accounts: number): LoadPlanOptions => ({
  rate: flags.rate,
  durationMs: flags.duration * MILLISECONDS_PER_SECOND,
  maximumRequests: flags.requests,
  accounts,
  accountSkew: flags.accountSkew,
  mix: { chat: flags.chats, overnight: flags.overnight, lookup: flags.lookups, order: flags.orders },
  returningShare: flags.returning,
  meanThinkTimeMs: flags.thinkTime * MILLISECONDS_PER_SECOND,
  answerTimePerTokenMs: flags.answerTime,
  maximumTurns: flags.turns,
  systemTokens: flags.systemTokens,
  questionTokens: flags.questionTokens,
  answerTokens: flags.answerTokens,
  model: flags.model,
  overnightModel: flags.overnightModel,
  lookupPath: flags.lookupPath,
  orderPath: flags.orderPath
})

const readKeys = async ({ key, keyFile }: LoadFlags): Promise<readonly string[]> => {
  const fromFile = keyFile === undefined ? [] : (await readFile(keyFile, 'utf8')).split('\n')
  const fromEnvironment = (process.env[KEYS_VARIABLE] ?? '').split(',')
  return [...key, ...fromFile, ...fromEnvironment].map((text) => text.trim()).filter((text) => text !== '')
}

const showProgress = ({ elapsedMs, summary, open }: LoadProgress): void => {
  const { complete, refusedNotRun, refusedUnknown, broken, wrong } = summary.outcomes
  process.stderr.write(`${Math.round(elapsedMs / MILLISECONDS_PER_SECOND)} s: ${complete} complete, ${refusedNotRun + refusedUnknown} refused, ${broken + wrong} broken or wrong, ${open} open\n`)
}

const hasBadAnswer = ({ outcomes }: LoadSummary): boolean => outcomes.broken + outcomes.wrong > 0

const reportUsageError = (message: string): void => {
  process.stderr.write(`error: ${message}\n`)
  process.exitCode = exitCodes.usage
}

const collect = (value: string, previous: readonly string[]): readonly string[] => [...previous, value]
