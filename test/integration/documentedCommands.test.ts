import { readFileSync } from 'node:fs'
import type { Command } from 'commander'
import { describe, expect, it } from 'vitest'
import { createPromMetrics } from '../../src/adapters/promMetrics/index.js'
import { createProgram } from '../../src/cli/createProgram/index.js'
import { exitCodes } from '../../src/cli/exitCodes.js'

const OPERATING = 'docs/OPERATING.md'
const operating = readFileSync(OPERATING, 'utf8')
const pages = ['README.md', OPERATING].map((page) => [page, readFileSync(page, 'utf8')] as const)

/** Lines of fenced blocks, and inline code, that start with the program's name. */
const commandLines = pages.flatMap(([page, text]) => {
  const fenced = [...text.matchAll(/```sh\n([\s\S]*?)```/g)].flatMap(([, block]) => block!.replaceAll('\\\n', ' ').split('\n'))
  const quoted = [...text.replaceAll(/```[\s\S]*?```/g, '').matchAll(/`([^`]+)`/g)].map(([, quote]) => quote!)
  return [...fenced, ...quoted].flatMap((line) => {
    const words = /^(?:node dist\/cli\/main\.js|dotterelspoke|npm run demo --) (.+?)(?: &| #.*)?$/.exec(line.trim())?.[1]
    return words === undefined ? [] : [[page, line.startsWith('npm') ? `demo ${words}` : words] as const]
  })
})

const listCommandTree = (command: Command): readonly Command[] => [command, ...command.commands.flatMap(listCommandTree)]
const listCommands = (program: Command): readonly Command[] => listCommandTree(program).filter(({ commands }) => commands.length === 0)
const namePath = (command: Command): string => command.parent === null ? '' : `${namePath(command.parent)} ${command.name()}`.trim()

/** Parses the words as the program does, without running the command, and returns the problem if there is one. */
const findProblem = (words: readonly string[]): string | undefined => {
  const program = createProgram()
  let isReached = false
  for (const command of listCommandTree(program)) command.exitOverride((error) => { throw error }).configureOutput({ writeErr: () => undefined })
  for (const command of listCommands(program)) command.action(() => { isReached = true })
  try {
    program.parse(words, { from: 'user' })
    return isReached ? undefined : 'no runnable command is named'
  } catch (error) {
    return String(error)
  }
}

const renderHelp = (command: Command): string => {
  let text = ''
  command.configureOutput({ writeOut: (part) => { text += part } }).outputHelp()
  return text
}

const readTable = (heading: string): readonly string[] => {
  const section = operating.split(`\n## ${heading}\n`)[1]!.split('\n## ')[0]!
  return [...section.matchAll(/^\| `([^`]+)` \|/gm)].map(([, name]) => name!)
}

const readReasons = (): readonly string[] => {
  const source = /export type RefusalReason =([\s\S]*?)\n\n/.exec(readFileSync('src/types/request.ts', 'utf8'))![1]!
  return [...source.matchAll(/'(\w+)'/g)].map(([, reason]) => reason!)
}

const readMetrics = async (): Promise<readonly string[]> => [...(await createPromMetrics().render()).matchAll(/^# HELP dotterelspoke_(\S+)/gm)].map(([, name]) => name!)

describe('the commands in the documentation', () => {
  it('are found by the parser of this test', () => { expect(commandLines.length).toBeGreaterThan(15) })

  it.each(commandLines)('%s: %s', (_page, words) => { expect(findProblem(words.split(/\s+/))).toBeUndefined() })

  it.each([['no command of that name', 'sheet aply x.csv'], ['no flag of that name', 'drain engine-a1 --until 5'], ['no command to run', 'sheet']])('are rejected with %s', (_fault, words) => {
    expect(findProblem(words.split(' '))).toBeDefined()
  })

  it.each(listCommands(createProgram()).map((command) => [namePath(command), command] as const))('%s has an example in its help', (name, command) => {
    expect(renderHelp(command)).toMatch(new RegExp(`Examples?:[\\s\\S]*dotterelspoke ${name}\\b`))
    expect(operating, 'is missing in the table of commands').toContain(`\`${name}`)
  })
})

describe('docs/OPERATING.md', () => {
  it('has an entry for each exit code', () => {
    const section = operating.split('| exit code |')[1]!.split('\n\n')[0]!
    expect([...section.matchAll(/^\| (\d) \|/gm)].map(([, code]) => Number(code))).toEqual(Object.values(exitCodes))
  })

  it('has an entry for each reason of a refusal', () => { expect(readTable('Refusals by reason')).toEqual(readReasons()) })

  it('has an entry for each metric', async () => { expect(readTable('Metrics')).toEqual(await readMetrics()) })

  it('names no metric that does not exist', async () => {
    const named = [...operating.matchAll(/dotterelspoke_(\w+)/g)].map(([, name]) => name!)
    expect(await readMetrics()).toEqual(expect.arrayContaining([...new Set(named)]))
  })
})
