import { fileURLToPath } from 'node:url'
import { afterEach, describe, expect, it } from 'vitest'
import { startProcess, type StartedProcess } from '../../src/bench/routerCost/_lib/startProcess.js'

const MAIN = fileURLToPath(new URL('../../dist/cli/main.js', import.meta.url))
const SECRET = 'a-secret-of-the-test'
const LONG_GRACE_MS = 3_600_000

const started: StartedProcess[] = []

afterEach(async () => {
  for (const child of started.splice(0).reverse()) await child.kill()
})

const start = async (...args: readonly string[]): Promise<StartedProcess> => {
  const child = await startProcess(args, { DOTTERELSPOKE_FLEET_KEY: SECRET, DOTTERELSPOKE_OPERATOR_TOKEN: SECRET }, MAIN)
  started.push(child)
  return child
}

const startRouter = (platformUrl: string): Promise<StartedProcess> =>
  start('router', '--node-id', 'r1', '--availability-zone', 'a', '--platform-url', platformUrl, '--log-level', 'error',
    '--caller-port', '0', '--operator-port', '0', '--peer-port', '0', '--shutdown-delay-ms', '0', '--shutdown-grace-ms', String(LONG_GRACE_MS))

describe('a router process that is told to stop', () => {
  // An operator replaces a VM: SIGTERM comes while nothing is in flight. The
  // listeners closed, but the process stayed for its whole grace period,
  // because the timer of the grace was left pending.
  it('ends as soon as nothing is in flight, not after its grace period', async () => {
    const platform = await start('emulate', 'platform')
    const router = await startRouter(String(platform.ready['listening']))
    await expect(router.stop()).resolves.toBeUndefined()
  })
})

describe('the stand-ins as processes', () => {
  it.each(['platform', 'engine', 'service'])('%s prints where it listens, and ends when told to stop', async (kind) => {
    const standIn = await start('emulate', kind)
    expect(standIn.ready['kind']).toBe(kind)
    expect((await fetch(`${String(standIn.ready['control'])}/faults`)).status).toBe(200)
    await expect(standIn.stop()).resolves.toBeUndefined()
  })
})
