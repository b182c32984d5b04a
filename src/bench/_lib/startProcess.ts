/** Runs commands of the built program as child processes, and kills those that are left when the benchmark exits. */
import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

export type ReadyMessage = Readonly<Record<string, unknown>>

export type RunningProcess = {
  readonly pid: number
  /** The JSON line that the process prints once it listens. */
  readonly ready: ReadyMessage
  /** The last lines of its log. */
  readonly logLines: () => readonly string[]
  readonly terminate: () => void
  /** Pauses the process with SIGSTOP; its connections stay open. */
  readonly pause: () => void
  readonly resume: () => void
  /** Sends SIGKILL and resolves when the process has exited. */
  readonly kill: () => Promise<void>
  readonly hasExited: () => boolean
  readonly whenExited: Promise<number | null>
}

export type FinishedCommand = { readonly code: number | null, readonly stdout: string, readonly stderr: string }

/** The built program; the relative path is right from src/ as well as from dist/. */
const MAIN = fileURLToPath(new URL('../../../dist/cli/main.js', import.meta.url))
const MAXIMUM_LOG_LINES = 200

const runningPids = new Set<number>()

const killAll = (): void => {
  for (const pid of runningPids) {
    try {
      process.kill(pid, 'SIGKILL')
    } catch {
      // The process has already exited.
    }
  }
}

process.on('exit', killAll)
process.on('SIGTERM', () => {
  killAll()
  process.exit(1)
})

const spawnMain = (commandArguments: readonly string[], environment: Readonly<Record<string, string>>) => {
  const child = spawn(process.execPath, [MAIN, ...commandArguments], { env: { ...process.env, ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
  const pid = child.pid
  if (pid === undefined) throw new Error(`cannot start ${commandArguments.join(' ')}`)
  runningPids.add(pid)
  const whenExited = new Promise<number | null>((resolve) => {
    child.on('exit', (code) => {
      runningPids.delete(pid)
      resolve(code)
    })
  })
  const signal = (name: NodeJS.Signals): void => { if (runningPids.has(pid)) process.kill(pid, name) }
  return { child, pid, whenExited, signal }
}

/**
 * Starts a daemon and waits until it reports that it listens.
 *
 * @param commandArguments - Arguments of `dotterelspoke`.
 * @param environment - Variables added to the environment.
 * @returns The running process.
 */
export const startProcess = async (commandArguments: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<RunningProcess> => {
  const { child, pid, whenExited, signal } = spawnMain(commandArguments, environment)
  const logLines: string[] = []
  const appendLogLine = (line: string): void => {
    logLines.push(line)
    if (logLines.length > MAXIMUM_LOG_LINES) logLines.shift()
  }
  createInterface({ input: child.stderr }).on('line', appendLogLine)
  const ready = await new Promise<ReadyMessage>((resolve, reject) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      if (line.startsWith('{')) resolve(JSON.parse(line) as ReadyMessage)
      else appendLogLine(line)
    })
    whenExited.then((code) => { reject(new Error(`${commandArguments.join(' ')} ended with ${code}:\n${logLines.join('\n')}`)) })
  })
  return {
    pid,
    ready,
    logLines: () => logLines,
    terminate: () => { signal('SIGTERM') },
    pause: () => { signal('SIGSTOP') },
    resume: () => { signal('SIGCONT') },
    kill: async () => {
      signal('SIGKILL')
      await whenExited
    },
    hasExited: () => !runningPids.has(pid),
    whenExited
  }
}

/**
 * Runs a command until it exits.
 *
 * @param commandArguments - Arguments of `dotterelspoke`.
 * @param environment - Variables added to the environment.
 * @returns Exit code and output.
 */
export const runCommand = async (commandArguments: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<FinishedCommand> => {
  const { child, whenExited } = spawnMain(commandArguments, environment)
  const output = { stdout: '', stderr: '' }
  child.stdout.on('data', (bytes: Buffer) => { output.stdout += bytes.toString() })
  child.stderr.on('data', (bytes: Buffer) => { output.stderr += bytes.toString() })
  const closed = new Promise<void>((resolve) => { child.on('close', () => { resolve() }) })
  const code = await whenExited
  await closed
  return { code, ...output }
}
