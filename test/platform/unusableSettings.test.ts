/** Tests a gateway process whose settings file can't be used. */
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, expect, test } from 'vitest'
import { callGateway } from '../../platform/standIn/callGateway/index.js'
import { createPlatform, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { composeSettings, PROGRAM } from '../../platform/standIn/startGatewayProcess/index.js'
import { waitFor } from '../_lib/waitFor.js'

const open: { readonly close: () => Promise<void> }[] = []

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

type Line = Readonly<Record<string, unknown>>

const startPlatform = async (): Promise<PlatformStandIn> => {
  const platform = await createPlatform()
  open.push(platform)
  return platform
}

const compose = (platform: PlatformStandIn, fields: Readonly<Record<string, string>> = {}): string =>
  composeSettings({ name: 'node-1', store: platform.store.address(), fields: { 'bounds.grace_s': '1', ...fields } })

/** Starts the daemon with a settings file of this text, or without one. */
const spawnDaemon = (text: string | undefined) => {
  const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-settings-'))
  const path = join(folder, 'node.conf')
  const write = (next: string | undefined): void => { if (next !== undefined) writeFileSync(path, next) }
  write(text)
  const child = spawn(process.execPath, PROGRAM, { env: { PATH: process.env.PATH, DOTTERELSPOKE_NODE_FILE: path }, stdio: ['ignore', 'pipe', 'ignore'] })
  let output = ''
  child.stdout.on('data', (chunk: Buffer) => { output += chunk.toString('utf8') })
  const ended = new Promise<number | string>((resolve) => { child.on('close', (code, signal) => resolve(code ?? signal ?? 'unknown')) })
  let hasEnded = false
  ended.then(() => { hasEnded = true }, () => {})
  open.push({
    close: async () => {
      child.kill('SIGKILL')
      await ended
      rmSync(folder, { recursive: true })
    }
  })
  const readLines = (): readonly Line[] => output.split('\n').slice(0, -1).map((line) => JSON.parse(line) as Line)
  const waitForLine = (message: string): Promise<Line> => waitFor(message, () => {
    if (hasEnded) throw new Error(`the daemon ended after ${output}`)
    return readLines().find((line) => line.message === message)
  })
  return { write, signal: (name: NodeJS.Signals) => child.kill(name), ended, readLines, waitForLine }
}

// Guards against a process that ends for a settings file that is whole a moment later.
test.each<[string, (whole: string) => string | undefined, Line]>([
  ['missing', () => undefined, { reason: expect.stringContaining('ENOENT') as string }],
  ['empty', () => '', { field: 'node_name', reason: 'is missing' }],
  ['written half-way', (whole) => whole.slice(0, whole.indexOf('listen.ready') + 20), { field: 'listen.ready' }],
  ['invalid in a mandatory field', (whole) => whole.replace(/platform.address=.*/, 'platform.address=nowhere'), { field: 'platform.address', reason: 'is not an address of the form IP:PORT' }]
])('waits for a settings file that is %s', async (_, spoil, problem) => {
  const whole = compose(await startPlatform())
  const daemon = spawnDaemon(spoil(whole))
  expect(await daemon.waitForLine('settings unusable')).toMatchObject(problem)
  daemon.write(whole)
  const { callerPort, readinessPort } = await daemon.waitForLine('gateway started')
  await waitFor('the gateway to be ready', async () => (await fetch(`http://127.0.0.1:${String(readinessPort)}/readyz`)).status === 200)
  expect((await callGateway({ host: '127.0.0.1', port: Number(callerPort) }, { path: '/lookup/1' })).status).toBe(200)
  expect(daemon.readLines().filter(({ message }) => message === 'settings unusable')).toHaveLength(1)
  daemon.signal('SIGTERM')
  expect(await daemon.ended).toBe(0)
})

test('ends in order on SIGTERM while it waits for its settings', async () => {
  const daemon = spawnDaemon('node_name=node-1\n')
  expect(await daemon.waitForLine('settings unusable')).toMatchObject({ node: 'node-1', level: 'warn', field: 'zone', reason: 'is missing' })
  daemon.signal('SIGHUP')
  daemon.signal('SIGTERM')
  expect(await daemon.ended).toBe(0)
  expect(daemon.readLines().at(-1)).toMatchObject({ message: 'process ends', cause: 'SIGTERM', part: 'settings' })
})

// Guards against a start that is refused for a field that the node can do without.
test('starts with defaults for optional fields that can not be used', async () => {
  const platform = await startPlatform()
  const spoilt = { 'bounds.cap_factor': 'many', heartbeat_ms: '-1', 'listen.control': 'nowhere', 'limits.memory_mb': 'x' }
  const daemon = spawnDaemon(compose(platform, spoilt))
  await daemon.waitForLine('gateway started')
  expect(daemon.readLines().filter(({ message }) => message === 'setting left out').map(({ field }) => field).sort()).toEqual(Object.keys(spoilt).sort())
})
