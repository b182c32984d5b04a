import { readFileSync } from 'node:fs'
import fastify, { type FastifyInstance } from 'fastify'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createSystemClock } from '../../src/adapters/systemClock/index.js'
import { createSystemRandom } from '../../src/adapters/systemRandom/index.js'
import type { CommandEnvironment } from '../../src/cli/_lib/commandEnvironment.js'
import { createAuditCommand } from '../../src/cli/audit/index.js'
import { createDrainCommand } from '../../src/cli/drain/index.js'
import { createSheetCommand } from '../../src/cli/sheet/index.js'
import { createPlatformServer, type PlatformServer } from '../../src/emulator/createPlatformServer/index.js'
import { createOperatorHttp, type OperatorHttp } from '../../src/adapters/operatorHttp/index.js'
import type { BackendServerStatus, NodeStatus } from '../../src/types/index.js'

type Run = { readonly code: number, readonly out: string, readonly err: string }

const commands = { sheet: createSheetCommand, audit: createAuditCommand, drain: createDrainCommand } as const

let platform: PlatformServer
const closers: (() => Promise<unknown>)[] = []

beforeEach(async () => {
  platform = await createPlatformServer({ clock: createSystemClock() })
  closers.push(() => platform.close())
})

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close()
})

const run = async (name: keyof typeof commands, ...flags: readonly string[]): Promise<Run> => {
  const lines = { out: [] as string[], err: [] as string[] }
  let code = 0
  const variables: Readonly<Record<string, string>> = { DOTTERELSPOKE_PLATFORM_URL: platform.url, DOTTERELSPOKE_OPERATOR: 'jana', DOTTERELSPOKE_OPERATOR_TOKEN: 'token' }
  const environment: CommandEnvironment = {
    clock: createSystemClock(),
    random: createSystemRandom(),
    print: (text) => lines.out.push(text),
    printError: (text) => lines.err.push(text),
    setExitCode: (next) => { code = next },
    readVariable: (variable) => variables[variable],
    readText: (path) => sheets[path] ?? readFileSync(path, 'utf8')
  }
  await commands[name](environment).parseAsync([...flags], { from: 'user' })
  return { code, out: lines.out.join('\n'), err: lines.err.join('\n') }
}

const kiosk = readFileSync('examples/kiosk/sheet.csv', 'utf8')
const sheets: Readonly<Record<string, string>> = {
  heavier: kiosk.replace('podlipan-obchody,6', 'podlipan-obchody,7'),
  lighter: kiosk.replace('podlipan-obchody,6', 'podlipan-obchody,5'),
  faulty: kiosk.replace('podlipan-obchody,6', 'podlipan-obchody,x')
}

/** Starts an operator listener like a router's that returns the given status. */
const startRouter = async (readStatus: () => Partial<NodeStatus>): Promise<string> => {
  const router: OperatorHttp = createOperatorHttp({
    host: '127.0.0.1',
    port: 0,
    operatorToken: 'token',
    readStatus: () => ({ nodeId: 'router-1', availabilityZone: 'venkov-a', generation: 1, members: [], backendServers: [], ...readStatus() }) as unknown as NodeStatus,
    renderMetrics: async () => '',
    metricsContentType: 'text/plain'
  })
  closers.push(() => router.close())
  return router.listen()
}

const startServerWithoutRoutes = async (): Promise<string> => {
  const server: FastifyInstance = fastify()
  closers.push(() => server.close())
  return server.listen({ host: '127.0.0.1', port: 0 })
}

const createServerStatus = (changes: Partial<BackendServerStatus>): BackendServerStatus =>
  ({ backendServer: 'model-a1', state: 'leaving', weightShare: 1, inFlight: 0, ownInFlight: 0, ...changes })

describe('sheet check', () => {
  it.each([
    ['examples/kiosk/sheet.csv', { clientAccounts: 10, services: 2, backendServers: 15, routes: 5, plannedStops: 1 }],
    ['examples/strathmore/sheet.csv', { clientAccounts: 10, services: 2, backendServers: 9, routes: 4, plannedStops: 1 }]
  ])('accepts %s as valid', async (path, counts) => {
    const { code, out } = await run('sheet', 'check', path, '--json')
    expect({ code, ...JSON.parse(out) }).toEqual({ code: 0, kind: 'sound', ...counts })
  })

  it('prints the location of a problem and exits with 1', async () => {
    const { code, err } = await run('sheet', 'check', 'faulty')
    expect({ code, err }).toMatchObject({ code: 1, err: expect.stringContaining('faulty:2:3: weight "x" must be') })
  })

  it('exits with 2 for a file that does not exist', async () => {
    expect(await run('sheet', 'check', 'nowhere.csv')).toMatchObject({ code: 2 })
  })
})

describe('sheet apply', () => {
  it('applies the planned sheet and reports it as not confirmed yet', async () => {
    const plan = await run('sheet', 'plan', 'heavier')
    expect(plan.out).toContain('--against 0')
    const applied = await run('sheet', 'apply', 'heavier', '--against', '0')
    expect(applied).toMatchObject({ code: 0, out: expect.stringContaining('not confirmed on any router yet') })
    expect((await run('sheet', 'history')).out).toContain('jana')
  })

  it('exits with 3 when another change was accepted since the plan', async () => {
    await run('sheet', 'apply', 'heavier')
    const { code, out } = await run('sheet', 'apply', 'lighter', '--against', '0', '--as', 'petr')
    expect({ code, out }).toMatchObject({ code: 3, out: expect.stringContaining('applied by jana') })
    expect((await run('audit')).out).toContain('petr: sheet apply, generation 0 -> 2: refused')
  })

  it('exits with 4 and reports the sheet as not accepted in an outage', async () => {
    platform.faults.apply({ fault: 'outage' })
    expect(await run('sheet', 'apply', 'heavier')).toMatchObject({ code: 4, out: expect.stringContaining('not accepted') })
  })

  it('shows a sheet with problems in the audit trail as refused', async () => {
    expect(await run('sheet', 'apply', 'faulty')).toMatchObject({ code: 1 })
    expect((await run('audit')).out).toContain('refused (the sheet has 1 problems, the first at 2:3')
  })

  it.each([
    ['--wait', 'soon'],
    ['--against', '-1']
  ])('exits with 2 for %s %s', async (flag, value) => {
    expect(await run('sheet', 'apply', 'heavier', flag, value)).toMatchObject({ code: 2 })
  })

  it('waits until a router has the generation', async () => {
    let statusReads = 0
    const url = await startRouter(() => ({ generation: statusReads++ < 2 ? 0 : 1 }))
    expect(await run('sheet', 'apply', 'heavier', '--wait', '30', '--router', url)).toMatchObject({ code: 0, out: expect.stringContaining('in force on all 1 routers') })
  })

  it('exits with 6 and the reason when a router does not get the sheet in time', async () => {
    const url = await startRouter(() => ({ generation: 0, pending: { generation: 1, reason: 'platform: unavailable' } }))
    expect(await run('sheet', 'apply', 'heavier', '--wait', '0', '--router', url)).toMatchObject({ code: 6, out: expect.stringContaining('platform: unavailable') })
  })
})

describe('sheet status', () => {
  it('lists a router that does not answer, and exits with 6', async () => {
    await run('sheet', 'apply', 'heavier')
    const good = await startRouter(() => ({}))
    const serverWithoutStatus = await startServerWithoutRoutes()
    const { code, out } = await run('sheet', 'status', '--router', good, '--router', serverWithoutStatus)
    expect({ code, out }).toMatchObject({ code: 6, out: expect.stringContaining('NOT confirmed everywhere') })
  })

  it('reports routers that are ahead of a restored platform, and the next apply gets a generation above theirs', async () => {
    await run('sheet', 'apply', 'heavier')
    const url = await startRouter(() => ({ generation: 7 }))
    expect(await run('sheet', 'status', '--router', url)).toMatchObject({ code: 6, out: expect.stringContaining('above the platform\'s 1') })
    expect((await run('sheet', 'apply', 'lighter', '--router', url)).out).toContain('accepted as generation 8')
  })

  it('exits with 4 when the platform cannot be read', async () => {
    const url = await startRouter(() => ({}))
    platform.faults.apply({ fault: 'outage' })
    expect(await run('sheet', 'status', '--router', url)).toMatchObject({ code: 4 })
  })
})

describe('drain', () => {
  it('adds a planned stop and removes it again', async () => {
    await run('sheet', 'apply', 'heavier')
    expect(await run('drain', 'model-a1')).toMatchObject({ code: 0, out: expect.stringContaining('+ plannedStops drain-model-a1') })
    expect(await run('drain', 'model-a1', '--cancel')).toMatchObject({ code: 0, out: expect.stringContaining('- plannedStops drain-model-a1') })
    expect(await run('drain', 'model-a1', '--cancel')).toMatchObject({ code: 1, err: expect.stringContaining('no drain to cancel') })
  })

  it('refuses a backend server that is not in force', async () => {
    await run('sheet', 'apply', 'heavier')
    expect(await run('drain', 'model-z9')).toMatchObject({ code: 1 })
  })

  it('warns when a later sheet ends the drain', async () => {
    await run('sheet', 'apply', 'heavier')
    await run('drain', 'model-a1')
    expect((await run('sheet', 'apply', 'lighter')).err).toContain('ends the drain of drain-model-a1')
  })

  // The later of two concurrent drains would overwrite the planned stop of the other.
  it('keeps both of two concurrent drains', async () => {
    await run('sheet', 'apply', 'heavier')
    const runs = await Promise.all([run('drain', 'model-a1'), run('drain', 'model-b1', '--as', 'petr')])
    expect(runs.map(({ code }) => code)).toEqual([0, 0])
    const { out } = await run('sheet', 'show')
    expect(out.match(/drain-model-[ab]1/g)).toHaveLength(2)
  })

  it.each<[string, Partial<BackendServerStatus>, number]>([
    ['exits with 0 when the last request has ended', {}, 0],
    ['exits with 6 while a request is in flight', { ownInFlight: 1 }, 6],
    ['exits with 6 while a router still sends requests to the server', { state: 'live' }, 6]
  ])('%s', async (_, status, code) => {
    await run('sheet', 'apply', 'heavier')
    let statusReads = 0
    const url = await startRouter(() => ({ generation: statusReads++ === 0 ? 1 : 2, backendServers: [createServerStatus(status)] }))
    expect(await run('drain', 'model-a1', '--wait', '0', '--router', url)).toMatchObject({ code })
  })
})
