/** The parts of the process that a command uses; tests replace them. */
import { readFileSync } from 'node:fs'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import { createSystemRandom } from '../../adapters/systemRandom/index.js'
import type { Clock, RandomSource } from '../../types/index.js'

export type CommandEnvironment = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly print: (text: string) => void
  readonly printError: (text: string) => void
  readonly setExitCode: (code: number) => void
  readonly readVariable: (name: string) => string | undefined
  /** Reads a text file; `-` stands for the standard input. */
  readonly readText: (path: string) => string
}

const STANDARD_INPUT = 0

export const createProcessEnvironment = (): CommandEnvironment => ({
  clock: createSystemClock(),
  random: createSystemRandom(),
  print: (text) => { console.log(text) },
  printError: (text) => { console.error(text) },
  setExitCode: (code) => { process.exitCode = code },
  readVariable: (name) => process.env[name],
  readText: (path) => readFileSync(path === '-' ? STANDARD_INPUT : path, 'utf8')
})
