/** Tests the commands that docs/OPERATIONS.md gives to find the cause of a failed request, on the recorded log of a simulated day. */
import { readFileSync } from 'node:fs'
import { describe, expect, test } from 'vitest'
import { createExplainCommand } from '../../src/cli/explain/index.js'
import { createLogsCommand } from '../../src/cli/logs/index.js'
import { gatewayEvents } from '../../src/types/gatewayEvents.js'
import { createProcessEnvironment } from '../../src/cli/_lib/commandEnvironment.js'

const page = readFileSync('docs/OPERATIONS.md', 'utf8')
const commands = [...page.matchAll(/^dotterelspoke explain (\S+) (test\/\S+)$/gm)].map(([, requestId, file]) => [requestId!, file!] as const)

type Printed = { readonly text: string, readonly exitCode: number }

const run = (createCommand: typeof createExplainCommand, words: readonly string[]): Printed => {
  let text = ''
  let exitCode = 0
  const environment = { ...createProcessEnvironment(), print: (part: string) => { text += part }, printError: (part: string) => { text += part }, setExitCode: (code: number) => { exitCode = code } }
  createCommand(environment).parse([...words], { from: 'user' })
  return { text, exitCode }
}

const explain = (requestId: string, file: string): Printed => run(createExplainCommand, [requestId, file])

const EXPECTED_LINES: Readonly<Record<string, readonly string[]>> = {
  dc7d1cc34f07feb9: ['configuration source lost', 'reason=staleKeys', 'mayHaveRun=false'],
  ffeab552148cd4c2: ['backend server held', 'exchange failed', 'reason=answerBroken', 'mayHaveRun=true'],
  '79a0491bc7f99364': ['backend server silent', 'request sent again', 'request complete']
}

describe('docs/OPERATIONS.md', () => {
  test('has a command for each of the three kinds of failure', () => expect(commands.map(([requestId]) => requestId).sort()).toEqual(Object.keys(EXPECTED_LINES).sort()))

  test.each(commands)('prints the cause of the failure of request %s', (requestId, file) => {
    const { text, exitCode } = explain(requestId, file)
    expect(exitCode).toBe(0)
    for (const part of EXPECTED_LINES[requestId]!) expect(text).toContain(part)
  })

  test('reports that no line has the request', () => expect(explain('nobody', 'test/platform/recorded/day.jsonl')).toMatchObject({ exitCode: 1, text: 'no line has the request nobody' }))
})

describe('logs summary', () => {
  const [, ...words] = /^dotterelspoke (logs summary .+)$/m.exec(page)?.[1]?.split(' ') ?? []

  test('counts the outcomes of the recorded day by cause', () => {
    const { text, exitCode } = run(createLogsCommand, words)
    expect(exitCode).toBe(0)
    for (const part of ['staleKeys', 'answerBroken', 'complete']) expect(text).toContain(part)
  })

  test('draws the numbers of complete and other requests of each period', () => expect(run(createLogsCommand, words).text).toMatch(/Z {2}#*!+ {2}\d+ complete, \d+ not/))

  test('reports that no line ends a request', () => expect(run(createLogsCommand, ['summary', 'package.json'])).toMatchObject({ exitCode: 1, text: 'no line ends a request' }))
})

describe('the log', () => {
  test('contains only events of the table gatewayEvents', () => {
    const events = readFileSync('test/platform/recorded/day.jsonl', 'utf8').trim().split('\n').map((line) => (JSON.parse(line) as { readonly message: string }).message)
    for (const event of new Set(events)) expect(Object.keys(gatewayEvents)).toContain(event)
  })
})
