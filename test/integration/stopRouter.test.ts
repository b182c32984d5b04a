import { Agent, request } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import { CALLER_KEY, startFleet, type Fleet } from '../_lib/startFleet.js'
import { startProcess, type RunningProcess } from '../_lib/startProcess.js'

const SECRET = 'a-secret-of-the-test'
const LONG_GRACE_MS = 3_600_000

const started: RunningProcess[] = []
const fleets: Fleet[] = []

afterEach(async () => {
  for (const fleet of fleets.splice(0)) await fleet.stop()
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

/** Sends lookups on one kept connection, one after the other, until an answer ends it or none comes; `whenLeft` tells which. */
const callUntilClosed = (caller: string) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const callOnce = (): Promise<string> => new Promise((resolve) => {
    const message = request(`${caller}/stock/1`, { agent, headers: { authorization: `Bearer ${CALLER_KEY}` } }, (response) => {
      response.resume().on('close', () => resolve(response.complete ? String(response.headers.connection) : 'cut'))
    })
    message.on('error', ({ message: reason }) => resolve(reason)).end()
  })
  const callOn = async (end: string): Promise<string> => end === 'keep-alive' ? await callOn(await callOnce()) : end
  const whenFirstAnswered = callOnce()
  return { whenFirstAnswered, whenLeft: whenFirstAnswered.then(callOn) }
}

describe('a router process that gets SIGTERM', () => {
  // A router with no request in flight would wait for its complete grace period before it exits.
  it('exits as soon as no request is in flight, not after its grace period', async () => {
    const platform = await start('emulate', 'platform')
    const router = await startRouter(String(platform.ready['listening']))
    router.terminate()
    expect(await router.whenExited).toBe(0)
  })

  // Guards against requests that are on their way on kept connections when a stopping router closes these.
  it('answers every request of callers that leave when their answer says so', async () => {
    const fleet = await startFleet({ routers: 1, services: 1, serviceFlags: ['--delay', '5'], routerFlags: ['--shutdown-delay-ms', '1000'] })
    fleets.push(fleet)
    const [{ caller, process }] = fleet.routers as [Fleet['routers'][number]]
    const callers = Array.from({ length: 30 }, () => callUntilClosed(caller))
    await Promise.all(callers.map(({ whenFirstAnswered }) => whenFirstAnswered))
    process.terminate()
    expect((await Promise.all(callers.map(({ whenLeft }) => whenLeft))).filter((end) => end !== 'close')).toEqual([])
    expect(await process.whenExited).toBe(0)
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
