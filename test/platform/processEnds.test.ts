/** Tests what a gateway process does about exceptions that nothing catches, and what it leaves when it ends. */
import { spawn } from 'node:child_process'
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { createPlatform } from '../../platform/standIn/createPlatform/index.js'
import { PROGRAM, startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { waitFor } from '../_lib/waitFor.js'

const open: { readonly close: () => Promise<void> }[] = []

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

const createFolder = (): string => {
  const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-ends-'))
  open.push({ close: async () => rmSync(folder, { recursive: true }) })
  return folder
}

/** Arguments of node for the daemon with a line of code that runs beside it. */
const composeProgram = (code: string): readonly string[] => {
  const path = join(createFolder(), 'entry.cjs')
  writeFileSync(path, `require(${JSON.stringify(resolve('target/gateway.cjs'))})\n${code}\n`)
  return [PROGRAM[0]!, path]
}

const startNode = async (program: readonly string[] = PROGRAM): Promise<GatewayProcess> => {
  const platform = await createPlatform({ engines: [{ id: 'engine-1', workMs: 70, events: 20 }] })
  open.push(platform)
  const node = await startGatewayProcess({ name: 'node-1', program, store: platform.store.address(), fields: { 'bounds.grace_s': '3' } })
  open.push(node)
  await waitFor('the gateway to be ready', async () => (await fetch(`http://${node.readinessAddress.host}:${node.readinessAddress.port}/readyz`)).status === 200)
  return node
}

const findLines = (node: Pick<GatewayProcess, 'lines'>, message: string) => node.lines.filter((line) => line.message === message)

const waitForLine = (node: GatewayProcess, message: string): Promise<unknown> => waitFor(message, () => findLines(node, message).length > 0)

type BareProcess = { readonly ended: Promise<number | string>, readonly readOutput: () => string, readonly signal: (name: NodeJS.Signals) => void }

/** A process whose start need not succeed. */
const spawnBare = (program: readonly string[], settings: string): BareProcess => {
  const child = spawn(process.execPath, program, { env: { PATH: process.env.PATH, DOTTERELSPOKE_NODE_FILE: settings }, stdio: ['ignore', 'pipe', 'ignore'] })
  let output = ''
  child.stdout.on('data', (chunk: Buffer) => { output += chunk.toString('utf8') })
  const ended = new Promise<number | string>((resolve) => { child.on('close', (code, signal) => resolve(code ?? signal ?? 'unknown')) })
  open.push({ close: async () => { child.kill('SIGKILL'); await ended } })
  return { ended, readOutput: () => output, signal: (name) => { child.kill(name) } }
}

describe('a gateway process', () => {
  // Guards against ends that leave no line, so that nothing tells a stop from a crash.
  test('leaves one line about its end on SIGTERM', async () => {
    const node = await startNode()
    node.signal('SIGTERM')
    expect(await node.ended).toBe(0)
    expect(findLines(node, 'process ends')).toMatchObject([{ node: 'node-1', cause: 'SIGTERM', code: 0, level: 'info' }])
  })

  // Guards against an exception in one event that ends the process and all its requests.
  test.each([
    ['uncaughtException', 'throw new Error("injected")'],
    ['unhandledRejection', 'Promise.reject(new Error("injected"))'],
    ['uncaughtException', 'throw null']
  ])('goes on after an %s: %s', async (cause, code) => {
    const node = await startNode(composeProgram(`process.on("SIGUSR2", () => { ${code} })`))
    const stream = callGateway(node.callerAddress, { path: '/chat/1', body: 'x', headers: promptHeaders() })
    node.signal('SIGUSR2')
    await waitForLine(node, 'exception not caught')
    expect(await stream).toMatchObject({ status: 200, isComplete: true })
    node.signal('SIGTERM')
    await waitForLine(node, 'gateway stopping')
    node.signal('SIGUSR2')
    expect(await node.ended).toBe(0)
    expect(findLines(node, 'exception not caught')).toHaveLength(2)
    expect(findLines(node, 'exception not caught')[0]).toMatchObject({ node: 'node-1', level: 'error', cause, reason: expect.stringMatching(/injected|null/) as string })
    expect(findLines(node, 'gateway stopped')).toHaveLength(1)
  })

  // Guards against a process that keeps for ever what an exception left behind. Delays of minutes are shortened.
  test('stops in order some time after an exception', async () => {
    const node = await startNode(composeProgram(`
      const { setTimeout: set } = globalThis
      globalThis.setTimeout = (run, ms, ...rest) => set(run, ms >= 120_000 ? 100 : ms, ...rest)
      process.on("SIGUSR2", () => { throw new Error("injected") })`))
    node.signal('SIGUSR2')
    await waitForLine(node, 'gateway stopping')
    const stream = callGateway(node.callerAddress, { path: '/chat/1', body: 'x', headers: promptHeaders() })
    expect(await stream).toMatchObject({ status: 200, isComplete: true })
    expect(await node.ended).toBe(1)
    expect(findLines(node, 'process ends')).toMatchObject([{ cause: 'uncaughtException', code: 1, open: 0 }])
  })

  test.each([3_600_000, -3_600_000])('gets ready while the wall clock jumps by %i ms', async (jumpMs) => {
    await startNode(composeProgram(`const { now } = Date; setTimeout(() => { Date.now = () => now() + ${jumpMs} }, 20)`))
  })

  // Guards against a start that fails without a structured line.
  test('names the part that is missing when its program can not be loaded', async () => {
    const folder = createFolder()
    copyFileSync('target/gateway.cjs', join(folder, 'gateway.cjs'))
    const bare = spawnBare([join(folder, 'gateway.cjs')], join(folder, 'node.conf'))
    expect(await bare.ended).toBe(1)
    expect(bare.readOutput()).toMatch(/"cause":"startFailed".*program\.cjs.*"message":"process ends"/)
  })

  // Guards against a code cache that was written only in part.
  test.each([['empty', ''], ['garbage', 'garbage'.repeat(100)]])('starts with a code cache that is %s', async (_, cache) => {
    const folder = createFolder()
    for (const name of ['gateway.cjs', 'program.cjs']) copyFileSync(`target/${name}`, join(folder, name))
    writeFileSync(join(folder, 'program.code'), cache)
    await startNode([PROGRAM[0]!, join(folder, 'gateway.cjs')])
  })
})
