import { afterAll, beforeAll, describe, expect, it, vi } from 'vitest'
import { createPlatformHttp } from '../../src/adapters/platformHttp/index.js'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { createSystemClock } from '../../src/adapters/systemClock/index.js'
import type { JournalEntry } from '../../src/emulator/createJournal/index.js'
import type { FaultCommand } from '../../src/emulator/createFaultSwitches/index.js'
import { computeSha256 } from '../../src/kernel/index.js'
import type { LoadSummary } from '../../src/load/createLoadRecorder/index.js'
import { DEFAULT_LOAD_PLAN, planLoad, type PlannedRequest } from '../../src/load/planLoad/index.js'
import { runLoad } from '../../src/load/runLoad/index.js'
import type { SentRequest } from '../../src/load/sendPlannedRequest/index.js'
import type { Sheet } from '../../src/types/index.js'
import { createOperator } from '../_lib/createOperator.js'
import { startProcess, type RunningProcess } from '../_lib/startProcess.js'

const SECRET = 'a-secret-of-the-test'
const KEYS = ['key-large', 'key-small']
const SEED = 11

type Result = { readonly planned: PlannedRequest, readonly sent: SentRequest }

type Run = { readonly summary: LoadSummary, readonly results: readonly Result[], readonly ran: readonly JournalEntry[] }

const clock = createSystemClock()
const started: RunningProcess[] = []

const start = async (...args: readonly string[]): Promise<RunningProcess> => {
  const child = await startProcess(args, { DOTTERELSPOKE_FLEET_KEY: SECRET, DOTTERELSPOKE_OPERATOR_TOKEN: SECRET })
  started.push(child)
  return child
}

const startSeveral = (count: number, ...args: readonly string[]): Promise<readonly RunningProcess[]> =>
  Promise.all(Array.from({ length: count }, () => start(...args)))

const readAddress = ({ ready }: RunningProcess, name: string): string => String(ready[name])

const startRouter = (nodeId: string, platform: RunningProcess, ...args: readonly string[]): Promise<RunningProcess> =>
  start('router', '--node-id', nodeId, '--availability-zone', 'a', '--platform-url', readAddress(platform, 'listening'), '--log-level', 'error',
    '--caller-port', '0', '--operator-port', '0', '--peer-port', '0', '--shutdown-delay-ms', '0', ...args)

const buildSheet = (engines: readonly RunningProcess[], services: readonly RunningProcess[]): Sheet => {
  const describeServers = (service: string, servers: readonly RunningProcess[], slots: number): Sheet['backendServers'] =>
    servers.map((server, index) => ({ name: `${service}-${index}`, service, url: readAddress(server, 'listening'), availabilityZone: 'a', slots }))
  const route = { backendIdempotent: false, deadlineSeconds: 20, priority: 'interactive' } as const
  return {
    clientAccounts: KEYS.map((key, index) => ({ name: `account-${index}`, weight: 1, keyHashes: [computeSha256(key)] })),
    services: [{ name: 'engines', kind: 'model', loadLimit: 1.5, loadTarget: 1.26 }, { name: 'till', kind: 'plain', loadLimit: 1.5, loadTarget: 1.26 }],
    backendServers: [...describeServers('engines', engines, 16), ...describeServers('till', services, 64)],
    routes: [
      { ...route, name: 'chat', service: 'engines', model: 'chat', repeatable: true },
      { ...route, name: 'overnight', service: 'engines', model: 'overnight', repeatable: true, priority: 'overnight' },
      { ...route, name: 'stock', service: 'till', path: '/stock', repeatable: true },
      { ...route, name: 'orders', service: 'till', path: '/orders', repeatable: false }
    ],
    plannedStops: []
  }
}

const injectFault = async (server: RunningProcess, order: FaultCommand): Promise<void> => {
  await fetch(`${readAddress(server, 'control')}/faults`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(order) })
}

const readJournal = async (server: RunningProcess): Promise<readonly JournalEntry[]> => {
  const page = await (await fetch(`${readAddress(server, 'control')}/journal`)).json() as { readonly entries: readonly JournalEntry[] }
  return page.entries
}

const waitUntilReady = async (router: RunningProcess): Promise<void> => {
  const isReady = async (): Promise<boolean> => (await fetch(`${readAddress(router, 'operator')}/readyz`)).ok
  await vi.waitUntil(isReady, { timeout: 60_000 })
}

const ENGINE_FAULTS: readonly FaultCommand[] = [
  { fault: 'cutAnswer', count: 6, after: 3 },
  { fault: 'truncateAnswer', count: 6, after: 2 },
  { fault: 'duplicateEvent', count: 6, after: 2 },
  { fault: 'crossedAnswer', count: 6 },
  { fault: 'resetAfterRead', count: 6 },
  { fault: 'overloaded', count: 6 }
]

const SERVICE_FAULTS: readonly FaultCommand[] = [
  { fault: 'cutAnswer', count: 4, after: 1 },
  { fault: 'crossedAnswer', count: 4 },
  { fault: 'resetAfterRead', count: 4 },
  { fault: 'overloaded', count: 4 }
]

const runUnderFaults = async (): Promise<Run> => {
  const platform = await start('emulate', 'platform')
  const engines = await startSeveral(3, 'emulate', 'engine', '--decode-interval', '2', '--slots', '16')
  const services = await startSeveral(2, 'emulate', 'service', '--slots', '64')
  const client = createPlatformHttp({ url: readAddress(platform, 'listening'), timeoutMs: 10_000 })
  await createOperator('lena', client, clock).apply(buildSheet(engines, services), 0)
  await client.close()
  const first = await startRouter('r1', platform)
  const second = await startRouter('r2', platform, '--seed-peers', readAddress(first, 'peer'))
  await Promise.all([first, second].map(waitUntilReady))
  for (const engine of engines) for (const fault of ENGINE_FAULTS) await injectFault(engine, fault)
  for (const service of services) for (const fault of SERVICE_FAULTS) await injectFault(service, fault)

  const results: Result[] = []
  const plan = planLoad({ ...DEFAULT_LOAD_PLAN, rate: 60, durationMs: 60_000, maximumRequests: 400, accounts: KEYS.length, meanThinkTimeMs: 500, mix: { chat: 60, overnight: 5, lookup: 15, order: 20 } }, createSeededRandom(SEED))
  const summary = await runLoad(plan, {
    clock,
    routers: [first, second].map((router) => readAddress(router, 'caller')),
    keys: KEYS,
    sendChatHints: true,
    timeoutMs: 60_000,
    maximumOpen: 400,
    onResult: (planned, sent) => results.push({ planned, sent })
  })
  const ran = (await Promise.all([...engines, ...services].map(readJournal))).flat()
  return { summary, results, ran }
}

// With failing servers a caller would get the answer of another request or a truncated one, or an order would run twice.
describe('a load through two routers while backend servers inject all kinds of faults', () => {
  let run: Run

  beforeAll(async () => {
    run = await runUnderFaults()
  })

  afterAll(async () => {
    for (const child of started.splice(0).reverse()) await child.kill()
  })

  const countRuns = (matches: (entry: JournalEntry) => boolean): number => run.ran.filter(matches).length

  const listOrders = (): readonly { readonly key: string, readonly sent: SentRequest }[] =>
    run.results.flatMap(({ planned, sent }) => planned.kind === 'order' ? [{ key: planned.idempotencyKey, sent }] : [])

  it('gets no broken answer and no answer of another request', () => {
    expect(run.summary).toMatchObject({ sent: 400, outcomes: { broken: 0, wrong: 0 } })
  })

  it('completes most requests', () => {
    expect(run.summary.outcomes.complete).toBeGreaterThan(320)
  })

  it('runs no order twice', () => {
    const doubled = listOrders().filter(({ key }) => countRuns(({ idempotencyKey }) => idempotencyKey === key) > 1)
    expect(doubled).toEqual([])
  })

  it('has run every order that was reported complete', () => {
    const missing = listOrders().filter(({ key, sent }) => sent.outcome === 'complete' && countRuns(({ idempotencyKey }) => idempotencyKey === key) === 0)
    expect(missing).toEqual([])
  })

  it('has run no request that was refused as not run', () => {
    const refused = run.results.filter(({ sent }) => sent.outcome === 'refusedNotRun').map(({ sent }) => sent.requestId)
    expect(refused.filter((requestId) => countRuns((entry) => entry.requestId === requestId) > 0)).toEqual([])
  })

  it('has used up all injected faults of the services', async () => {
    const standIns = started.filter(({ ready }) => ready['kind'] === 'service')
    const remainingFaults = await Promise.all(standIns.map(async (server) => await (await fetch(`${readAddress(server, 'control')}/faults`)).json()))
    expect(remainingFaults).toEqual(standIns.map(() => ({})))
  })
})
