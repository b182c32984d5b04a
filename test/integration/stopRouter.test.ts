import { afterEach, describe, expect, it } from 'vitest'
import { startProcess, type RunningProcess } from '../_lib/startProcess.js'

const SECRET = 'a-secret-of-the-test'
const LONG_GRACE_MS = 3_600_000

const started: RunningProcess[] = []

afterEach(async () => {
  for (const child of started.splice(0).reverse()) await child.kill()
})

const start = async (...args: readonly string[]): Promise<RunningProcess> => {
  const child = await startProcess(args, { DOTTERELSPOKE_FLEET_KEY: SECRET, DOTTERELSPOKE_OPERATOR_TOKEN: SECRET })
  started.push(child)
  return child
}

const startRouter = (platformUrl: string): Promise<RunningProcess> =>
  start('router', '--node-id', 'r1', '--availability-zone', 'a', '--platform-url', platformUrl, '--log-level', 'error',
    '--caller-port', '0', '--operator-port', '0', '--peer-port', '0', '--shutdown-delay-ms', '0', '--shutdown-grace-ms', String(LONG_GRACE_MS))

describe('a router process that gets SIGTERM', () => {
  // A router with no request in flight would wait for its complete grace period before it exits.
  it('exits as soon as no request is in flight, not after its grace period', async () => {
    const platform = await start('emulate', 'platform')
    const router = await startRouter(String(platform.ready['listening']))
    router.terminate()
    expect(await router.whenExited).toBe(0)
  })
})

describe('a stand-in process', () => {
  it.each(['platform', 'engine', 'service'])('%s prints its listening addresses, and exits on SIGTERM', async (kind) => {
    const standIn = await start('emulate', kind)
    expect(standIn.ready['kind']).toBe(kind)
    expect((await fetch(`${String(standIn.ready['control'])}/faults`)).status).toBe(200)
    standIn.terminate()
    expect(await standIn.whenExited).toBe(0)
  })
})
