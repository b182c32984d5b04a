/** Runs commands of a build as child processes, and kills those that are still running at the end. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { join } from 'node:path'
import { createInterface } from 'node:readline'

const running = new Set()

const spawnCommand = (folder, commandArguments, environment) => {
  const child = spawn(process.execPath, [join(folder, 'dist/cli/main.js'), ...commandArguments], { env: { ...process.env, ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
  running.add(child)
  child.on('exit', () => running.delete(child))
  return child
}

/** Starts a daemon; resolves with the JSON line that has its addresses (`ready`), its log lines, and a function `end` that kills it. */
export const startDaemon = async (folder, commandArguments, environment = {}) => {
  const child = spawnCommand(folder, commandArguments, environment)
  const lines = []
  createInterface({ input: child.stderr }).on('line', (line) => lines.push(line))
  const ready = await new Promise((resolve, reject) => {
    createInterface({ input: child.stdout }).on('line', (line) => { line.includes('"listening"') || line.includes('"caller"') ? resolve(JSON.parse(line)) : lines.push(line) })
    child.on('exit', (code) => reject(new Error(`${commandArguments.join(' ')} ended with ${code}: ${lines.join('\n')}`)))
  })
  const end = async (signal = 'SIGKILL') => {
    if (child.exitCode !== null || child.signalCode !== null) return
    child.kill(signal)
    await once(child, 'exit')
  }
  return { ready, lines, end }
}

/** Runs a command until it exits. */
export const runCommand = async (folder, commandArguments, environment = {}) => {
  const child = spawnCommand(folder, commandArguments, environment)
  let output = ''
  child.stdout.on('data', (bytes) => { output += bytes })
  child.stderr.on('data', (bytes) => { output += bytes })
  const [code] = await once(child, 'close')
  return { code, output }
}

export const endProcesses = async () => {
  for (const child of running) {
    child.kill('SIGKILL')
    await once(child, 'exit')
  }
}

const POLL_INTERVAL_MS = 100
const MAXIMUM_WAIT_MS = 30_000

/** Polls until the condition holds; resolves to false if it does not within 30 s. */
export const waitUntil = async (condition) => {
  const deadline = Date.now() + MAXIMUM_WAIT_MS
  while (Date.now() < deadline) {
    if (await condition()) return true
    await new Promise((resolve) => { setTimeout(resolve, POLL_INTERVAL_MS) })
  }
  return false
}
