import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import OpenAI from 'openai'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { composeAnswer } from '../../src/emulator/composeAnswer/index.js'
import { computeSha256 } from '../../src/kernel/index.js'
import { runCommand, startProcess, type FinishedCommand, type RunningProcess } from '../_lib/startProcess.js'
import { waitFor } from '../_lib/waitFor.js'

const KEY = 'key-of-village-shops'
const ENVIRONMENT = { DOTTERELSPOKE_FLEET_KEY: 'fleet key of the test', DOTTERELSPOKE_OPERATOR_TOKEN: 'operator token of the test' }
const processes: RunningProcess[] = []
const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-'))

const start = async (...commandArguments: readonly string[]): Promise<RunningProcess> => {
  const started = await startProcess(commandArguments, ENVIRONMENT)
  processes.push(started)
  return started
}

const COLUMNS = [
  'record', 'name', 'weight', 'keySha256', 'kind', 'loadLimit', 'loadTarget', 'service', 'url', 'availabilityZone', 'slots', 'model', 'path',
  'repeatable', 'backendIdempotent', 'deadlineSeconds', 'priority', 'backendServer', 'startsAt', 'endsAt'
]

const composeRow = (cells: Readonly<Record<string, string>>): string => COLUMNS.map((column) => cells[column] ?? '').join(',')

const composeSheet = (engines: readonly string[], service: string): string => [
  COLUMNS.join(','),
  ...[
    { record: 'clientAccount', name: 'village-shops', keySha256: computeSha256(KEY) },
    { record: 'service', name: 'assistants', kind: 'model' },
    { record: 'service', name: 'settlements', kind: 'plain' },
    ...engines.map((url, index) => ({ record: 'backendServer', name: `assistant-${index}`, service: 'assistants', url, availabilityZone: 'zone-a' })),
    { record: 'backendServer', name: 'settlement-0', service: 'settlements', url: service, availabilityZone: 'zone-a', slots: '32' },
    { record: 'route', name: 'shop-assistant', service: 'assistants', model: 'shop-assistant' },
    { record: 'route', name: 'orders', service: 'settlements', path: '/orders', repeatable: 'no' },
    { record: 'route', name: 'stock', service: 'settlements', path: '/stock' }
  ].map(composeRow),
  ''
].join('\n')

const startRouter = async (index: number, platform: string, seeds: string): Promise<RunningProcess> => await start(
  'router', '--node-id', `router-${index}`, '--availability-zone', 'zone-a', '--platform-url', platform, '--seed-peers', seeds,
  '--caller-port', '0', '--operator-port', '0', '--peer-port', '0', '--log-level', 'warn')

let routers: readonly RunningProcess[] = []
let applied: FinishedCommand

beforeAll(async () => {
  const platform = String((await start('emulate', 'platform')).ready['listening'])
  const engines = [await start('emulate', 'engine'), await start('emulate', 'engine')]
  const service = await start('emulate', 'service')
  const sheet = join(folder, 'sheet.csv')
  writeFileSync(sheet, composeSheet(engines.map(({ ready }) => String(ready['listening'])), String(service.ready['listening'])))
  applied = await runCommand(['sheet', 'apply', sheet, '--platform', platform, '--as', 'jana'])
  if (applied.code !== 0) throw new Error(applied.stderr)
  const first = await startRouter(1, platform, '')
  routers = [first, await startRouter(2, platform, String(first.ready['peer']))]
  for (const router of routers) {
    await waitFor('the router to be ready', async () => (await fetch(`${String(router.ready['operator'])}/readyz`)).ok)
  }
})

afterAll(async () => {
  await Promise.all(processes.map((started) => started.kill()))
  rmSync(folder, { recursive: true })
})

const createClient = (router: number): OpenAI => new OpenAI({ apiKey: KEY, baseURL: `${String(routers[router]?.ready['caller'])}/v1`, maxRetries: 0 })

const messages = [{ role: 'user' as const, content: 'Is there any durum flour left?' }]

describe('a fleet of separate processes', () => {
  it('accepts a sheet from the command line', () => {
    expect(applied.stdout).toContain('generation 1')
  })

  it.each([0, 1])('returns a non-streamed answer through router %i', async (router) => {
    const answer = await createClient(router).chat.completions.create({ model: 'shop-assistant', messages })
    expect(answer.choices[0]?.message.content).toBe(composeAnswer(messages).text)
  })

  it.each([0, 1])('streams an answer through router %i', async (router) => {
    const stream = await createClient(router).chat.completions.create({ model: 'shop-assistant', messages, stream: true })
    const pieces: string[] = []
    for await (const chunk of stream) pieces.push(chunk.choices[0]?.delta.content ?? '')
    expect(pieces.join('')).toBe(composeAnswer(messages).text)
  })

  it.each([0, 1])('lists the models through router %i', async (router) => {
    const models = await createClient(router).models.list()
    expect(models.data.map(({ id }) => id)).toEqual(['shop-assistant'])
  })

  it.each([0, 1])('reaches the plain service through router %i', async (router) => {
    const response = await fetch(`${String(routers[router]?.ready['caller'])}/stock/durum`, { headers: { authorization: `Bearer ${KEY}` } })
    expect(response.status).toBe(200)
  })

  it('refuses an unknown key', async () => {
    const client = new OpenAI({ apiKey: 'no-such-key', baseURL: `${String(routers[0]?.ready['caller'])}/v1`, maxRetries: 0 })
    await expect(client.chat.completions.create({ model: 'shop-assistant', messages })).rejects.toThrow(/401/)
  })

  it('refuses an unknown model', async () => {
    await expect(createClient(0).chat.completions.create({ model: 'no-such-model', messages })).rejects.toThrow(/404/)
  })

  it.each([
    'requests_accepted_total', 'platform_calls_total{call="read",outcome="ok"}', 'peer_sent_bytes_total{kind="heartbeat"}', 'load_probes_total{outcome="complete"}'
  ])('counts %s at a router', async (metric) => {
    await waitFor('the counter to be above 0', async () => {
      const lines = (await (await fetch(`${String(routers[0]?.ready['operator'])}/metrics`)).text()).split('\n')
      return lines.some((line) => line.startsWith(`dotterelspoke_${metric} `) && !line.endsWith(' 0'))
    })
  })

  it('runs the demo, which reports a prompt cache hit', async () => {
    const demo = await runCommand(['demo'])
    expect(demo.stdout).toContain('the second turn hit the prompt cache')
    expect(demo.code).toBe(0)
  })
})
