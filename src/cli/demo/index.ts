/** `dotterelspoke demo`: starts a complete fleet in one process and sends a chat through it. */
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { parseSheet } from '../../decisions/parseSheet/index.js'
import type { Sheet } from '../../types/index.js'
import { parsePort } from '../_lib/parseNumber.js'
import { exitCodes } from '../exitCodes.js'
import { sendChatTurn, type ChatMessage, type ChatTurn } from './_lib/sendChatTurn.js'
import { startDemoFleet, type DemoFleet } from './_lib/startDemoFleet.js'

type DemoFlags = { readonly stay: boolean, readonly port: number }

const SHEET_URL = new URL('../../../examples/demo/sheet.csv', import.meta.url)
const ACCOUNT_KEY = 'demo-key-village-shops'
const MODEL = 'shop-assistant'
const OPERATOR_TOKEN = 'demo-operator-token'
/** Pause between two turns, long enough for the routers to exchange their counts of requests in flight. */
const TURN_PAUSE_MS = 1_000
const SUGGESTED_PORT = 8080

const QUESTIONS = [
  'Draft a restocking order for flour, eggs and salt, for the van on Thursday.',
  'Add two crates of butter, and say what is still missing.'
]

const readSheet = (): Sheet => {
  const sheet = parseSheet(readFileSync(SHEET_URL, 'utf8'))
  if (sheet.ok) return sheet.value
  throw new Error(`the demo's sheet is wrong: ${sheet.error.map(({ line, column, message }) => `${line}:${column} ${message}`).join('; ')}`)
}

const printTurn = (turn: number, router: string, answer: ChatTurn): void => {
  console.log(`turn ${turn} through ${router}: served by ${answer.servedBy}, ${answer.cachedTokens} of ${answer.promptTokens} prompt tokens from the cache`)
  console.log(`  ${answer.text}`)
}

const pause = (): Promise<void> => new Promise((resolve) => { setTimeout(resolve, TURN_PAUSE_MS) })

/** Sends the turns of a chat with a pause between them, each through the next router. */
const sendChat = async (fleet: DemoFleet): Promise<readonly ChatTurn[]> => {
  const turns: ChatTurn[] = []
  let messages: readonly ChatMessage[] = [{ role: 'system', content: 'You help village shopkeepers to restock. Answer briefly.' }]
  for (const [index, question] of QUESTIONS.entries()) {
    if (index > 0) await pause()
    const router = fleet.routers[index % fleet.routers.length]!.addresses.caller
    messages = [...messages, { role: 'user', content: question }]
    const answer = await sendChatTurn(router, ACCOUNT_KEY, { model: MODEL, messages })
    printTurn(index + 1, router, answer)
    messages = [...messages, { role: 'assistant', content: answer.text }]
    turns.push(answer)
  }
  return turns
}

const printCurl = (fleet: DemoFleet, stay: boolean): void => {
  const router = fleet.routers[0]!.addresses
  const origin = stay ? router.caller : `http://127.0.0.1:${SUGGESTED_PORT}`
  console.log(stay ? '\nTry it:' : `\nTry it while \`npm run demo -- --stay --port ${SUGGESTED_PORT}\` runs:`)
  console.log(`  curl -N ${origin}/v1/chat/completions -H 'authorization: Bearer ${ACCOUNT_KEY}' -H 'content-type: application/json' \\`)
  console.log(`    -d '{"model":"${MODEL}","stream":true,"messages":[{"role":"user","content":"Is there flour?"}]}'`)
  console.log(`key: ${ACCOUNT_KEY}`)
  if (stay) console.log(`operator port: ${router.operator}, operator token: ${OPERATOR_TOKEN}`)
}

const waitForInterrupt = (): Promise<void> => new Promise((resolve) => {
  process.once('SIGINT', () => resolve())
  process.once('SIGTERM', () => resolve())
})

const hasCacheHits = (turns: readonly ChatTurn[]): boolean => turns.slice(1).every(({ cachedTokens }) => cachedTokens > 0)

const runDemo = async ({ stay, port }: DemoFlags): Promise<void> => {
  const fleet = await startDemoFleet({ sheet: readSheet(), port, operatorToken: OPERATOR_TOKEN })
  console.log(`generation ${fleet.generation} is in force on ${fleet.routers.length} routers`)
  const isCacheHit = hasCacheHits(await sendChat(fleet))
  console.log(isCacheHit ? 'the second turn hit the prompt cache' : 'the second turn missed the prompt cache')
  printCurl(fleet, stay)
  if (stay) {
    console.log('\nserving until interrupted')
    await waitForInterrupt()
  }
  await fleet.stop()
  process.exitCode = isCacheHit ? exitCodes.success : exitCodes.failure
}

/**
 * Creates the command.
 *
 * @returns The command for the program.
 */
export const createDemoCommand = (): Command => new Command('demo')
  .description('Runs a platform, two zones, routers and engines in one process and sends a chat twice')
  .option('--stay', 'go on serving until interrupted', false)
  .option('--port <number>', 'port of the first router for callers; 0 takes a free one', parsePort, 0)
  .addHelpText('after', '\nExamples:\n  dotterelspoke demo\n  dotterelspoke demo --stay --port 8080')
  .action(runDemo)
