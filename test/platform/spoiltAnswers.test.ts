/**
 * Tests a gateway process whose backend servers spoil their answers, some without end. Judged
 * by what callers and servers saw, and by its memory. SPOILT_SEEDS sets the number of seeds.
 */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { createPlatform, createRoute, PLAIN } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { waitFor } from '../_lib/waitFor.js'
import { composeBody, createSpoiltServer, SPOILINGS, type Spoiling, type SpoiltServer } from './_lib/createSpoiltServer.js'

const SEEDS = Number(process.env.SPOILT_SEEDS ?? 2)
const FIRST_SEED = Number(process.env.SPOILT_FIRST_SEED ?? 1)
const SERVERS = 4
const CALLERS = 6
const CALLS = 12
const TIMEOUT_MS = 1_500
/** Of the VM; the process may hold no more. */
const MEMORY_MB = 350
const BYTES_PER_MEGABYTE = 1_048_576
/** The bound of an answer, and what the kernel may hold of it: up to 32 MiB on the receiving side. */
const MAXIMUM_POURED_BYTES = 64 * BYTES_PER_MEGABYTE
/** Kept of the body of an answer that has no end. */
const KEPT_BYTES = 4_096
/** Of some orders: more than arrives at a server in one piece. */
const LONG_BODY = 'x'.repeat(400_000)
/** Statuses that promise: not run, and never will be. */
const PROMISES = new Set([408, 421, 429, 503])

const open: { readonly close: () => Promise<void> }[] = []

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

type Rig = { readonly node: GatewayProcess, readonly servers: readonly SpoiltServer[] }

const start = async (count: number, select: () => Spoiling, timeoutMs = TIMEOUT_MS): Promise<Rig> => {
  const routes = [createRoute('lookup', { timeout_ms: timeoutMs }), createRoute('order', { route_type: 'unsafe', max_attempts: 1, timeout_ms: timeoutMs })]
  const platform = await createPlatform({ plain: [], engines: [], routes, limits: { max_body_bytes: 2 * LONG_BODY.length } })
  open.push(platform)
  const servers = await Promise.all(Array.from({ length: count }, (_, index) => createSpoiltServer(`spoilt-${index + 1}`, select)))
  open.push(...servers)
  for (const server of servers) platform.register(server, PLAIN)
  const node = await startGatewayProcess({ name: 'node-1', store: platform.store.address(), fields: { 'limits.memory_mb': String(MEMORY_MB) } })
  open.push(node)
  const { host, port } = node.readinessAddress
  await waitFor('the node to be ready', async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
  return { node, servers }
}

type Call = { readonly requestId: string, readonly isOrder: boolean, readonly result: CallResult }

const call = async ({ node }: Rig, requestId: string, isOrder: boolean, { timeoutMs = TIMEOUT_MS, body = 'x' } = {}): Promise<Call> =>
  ({ requestId, isOrder, result: await callGateway(node.callerAddress, { path: isOrder ? '/order/1' : '/lookup/1', requestId, timeoutMs, maximumBodyBytes: KEPT_BYTES, ...(isOrder ? { body } : {}) }) })

const listRuns = ({ servers }: Rig, requestId: string) => servers.flatMap((server) => server.runs()).filter((run) => run.requestId === requestId)

/** Promises that the call broke. */
const listBroken = (rig: Rig, { requestId, isOrder, result: { status, body, isComplete } }: Call): readonly string[] => {
  const runs = listRuns(rig, requestId)
  return [
    ...(isOrder && runs.length > 1 ? [`TWICE ${requestId} ${runs.map(({ spoiling }) => spoiling)}`] : []),
    ...(isOrder && PROMISES.has(status) && runs.length > 0 ? [`REFUSED ${requestId} ${status}`] : []),
    ...(status === 200 && isComplete && body !== composeBody(requestId) ? [`MIXED ${requestId} ${runs.map(({ spoiling }) => spoiling)} ${body.slice(0, 60)}`] : []),
    ...(status > 0 && (status < 200 || status > 599) ? [`MIXED ${requestId} ${status}`] : []),
    ...(status === 0 ? [`LOST ${requestId} ${runs.map(({ spoiling }) => spoiling)}`] : [])
  ]
}

const expectNothingPouring = async ({ servers }: Rig): Promise<void> => {
  await waitFor('the gateway to have given up every answer without end', () => servers.every((server) => server.countPouring() === 0))
}

const seeds = Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index)

describe('backend servers that spoil their answers', () => {
  // Bytes that belong to no request would reach a caller as its answer, or pass for the word that an order was not run.
  test.each(seeds)('break no promise to callers (seed %i)', async (seed) => {
    const random = createSeededRandom(seed)
    const spoilings: readonly Spoiling[] = [...SPOILINGS, ...SPOILINGS.map(() => 'none' as const)]
    const rig = await start(SERVERS, () => spoilings[Math.floor(random.next() * spoilings.length)]!)
    const callers = Array.from({ length: CALLERS }, async (_, caller) => {
      const calls: Call[] = []
      for (let index = 0; index < CALLS; index++) calls.push(await call(rig, `${seed}-${caller}-${index}`, (caller + index) % 2 === 0, index % 3 === 0 ? { body: LONG_BODY } : {}))
      return calls
    })
    const calls = (await Promise.all(callers)).flat()
    expect(calls.flatMap((one) => listBroken(rig, one))).toEqual([])
    await expectNothingPouring(rig)
    expect(calls.some(({ result }) => result.status === 200 && result.isComplete)).toBe(true)
  })
})

describe('a hundred servers whose answers have no end', () => {
  const CROWD = 100
  /** Reached only by an answer that is not bounded. */
  const LONG_TIMEOUT_MS = 30_000
  const endless = SPOILINGS.filter((spoiling) => spoiling.startsWith(process.env.SPOILT_KIND ?? 'endless'))

  // Memory would grow with each of them until the process is ended, and with it all of its requests.
  test('are given up before the deadline, within the memory of the VM', async () => {
    let next = 0
    const rig = await start(CROWD, () => endless[next++ % endless.length]!, LONG_TIMEOUT_MS)
    const calls = await Promise.all(Array.from({ length: CROWD }, (_, index) => call(rig, `endless-${index}`, true, { timeoutMs: LONG_TIMEOUT_MS })))
    expect(calls.flatMap((one) => listBroken(rig, one))).toEqual([])
    // 504 would say that the gateway waited for the end of the answer.
    expect(calls.filter(({ result: { status, isComplete } }) => status === 504 || (status === 200 && isComplete)).flatMap(({ requestId }) => listRuns(rig, requestId))).toEqual([])
    await expectNothingPouring(rig)
    expect(Math.max(...rig.servers.map((server) => server.mostPoured()))).toBeLessThan(MAXIMUM_POURED_BYTES)
    expect(rig.node.readPeakMemory()).toBeLessThan(MEMORY_MB * BYTES_PER_MEGABYTE)
  })
})
