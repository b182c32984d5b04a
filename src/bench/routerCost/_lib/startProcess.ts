/** Starts the project's own programs as processes and stops them again. */
import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

export type StartedProcess = {
  /** The line of JSON that the program printed when it was ready. */
  readonly ready: Readonly<Record<string, unknown>>
  readonly stop: () => Promise<void>
  /** Ends it at once, whatever it is doing. */
  readonly kill: () => Promise<void>
}

const MAIN = fileURLToPath(new URL('../../../cli/main.js', import.meta.url))

/**
 * Starts `dotterelspoke` with some arguments and waits until it is ready.
 *
 * @param args - The command and its flags.
 * @param environment - Added to this process's environment; for secrets.
 * @param main - Path of the built program; beside this module by default.
 * @returns What it printed, and how to stop it by SIGTERM.
 *
 * @example
 * const platform = await startProcess(['emulate', 'platform'])
 */
export const startProcess = async (args: readonly string[], environment: Readonly<Record<string, string>> = {}, main: string = MAIN): Promise<StartedProcess> => {
  const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', 'pipe', 'inherit'], env: { ...process.env, ...environment } })
  const ended = new Promise<void>((resolve) => child.once('exit', () => resolve()))
  const end = (signal: NodeJS.Signals): Promise<void> => {
    child.kill(signal)
    return ended
  }
  const lines = createInterface({ input: child.stdout })
  const ready = await new Promise<Readonly<Record<string, unknown>>>((resolve, reject) => {
    lines.once('line', (line) => resolve(JSON.parse(line) as Readonly<Record<string, unknown>>))
    child.once('exit', (code) => reject(new Error(`${args.join(' ')} ended with ${code} before it was ready`)))
  })
  return {
    ready,
    stop: () => end('SIGTERM'),
    kill: () => end('SIGKILL')
  }
}
