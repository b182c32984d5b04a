/** Tests that planned stops of the real daemon cut no answer, while its backend servers pause. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, nextRequestId, promptHeaders, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { createPlatform, createRoute, ENGINES, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { formatEvent } from '../../platform/standIn/createBackendStandIn/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { waitFor } from '../_lib/waitFor.js'

const EVENTS = 60
const EVENT_INTERVAL_MS = 50
const STREAMS = 18
const ENGINE_IDS = ['engine-1', 'engine-2', 'engine-3']
/** Long enough for each stream to end well before it, silences included. */
const GRACE_S = 12
const TIMEOUT_MS = 15_000

type Setup = { readonly platform: PlatformStandIn, readonly gateway: GatewayProcess }

const open: { readonly close: () => Promise<void> }[] = []

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

const start = async (graceS = GRACE_S): Promise<Setup> => {
  const platform = await createPlatform({
    engines: ENGINE_IDS.map((id) => ({ id, workMs: EVENT_INTERVAL_MS, events: EVENTS })),
    routes: [createRoute('chat', { route_type: 'stream', service: ENGINES, resumable: true, gap_target_ms: 300, timeout_ms: TIMEOUT_MS }), createRoute('order', { route_type: 'unsafe', max_attempts: 1, timeout_ms: TIMEOUT_MS })],
    plain: [{ id: 'plain-1' }]
  })
  open.push(platform)
  const gateway = await startGatewayProcess({ name: 'node-1', store: platform.store.address(), fields: { 'bounds.grace_s': String(graceS) } })
  open.push(gateway)
  const { host, port } = gateway.readinessAddress
  await waitFor('the gateway to be ready', async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
  return { platform, gateway }
}

const composeStream = (requestId: string): string => Array.from({ length: EVENTS }, (_, index) => formatEvent(requestId, index + 1)).join('')

/** The caller asks for far more tokens than the stream will have, as most callers do. */
const callStream = async ({ gateway }: Setup): Promise<boolean> => {
  const requestId = nextRequestId()
  const headers = { ...promptHeaders('aa', requestId), 'X-Token-Count': '300,5000' }
  const result: CallResult = await callGateway(gateway.callerAddress, { path: '/chat/1', requestId, body: 'x', timeoutMs: TIMEOUT_MS, headers })
  return result.status === 200 && result.isComplete && result.body === composeStream(requestId)
}

const countArrivals = ({ platform }: Setup): number => [...platform.backends.values()].flatMap((backend) => backend.records()).length

/** Starts the streams, and returns how many were whole once the gateway has ended. */
const countWhole = async (setup: Setup, disturb: () => Promise<void>): Promise<number> => {
  const calls = Array.from({ length: STREAMS }, () => callStream(setup))
  await waitFor('each stream to run', () => countArrivals(setup) >= STREAMS)
  await pause(500)
  await disturb()
  const results = await Promise.all(calls)
  return results.filter((isWhole) => isWhole).length
}

describe('a gateway that is stopping', () => {
  // Guards against a connection that is closed without an answer when the grace period ends.
  test('answers an order that is still running when its grace period ends', async () => {
    const { platform, gateway } = await start(3)
    platform.backends.get('plain-1')!.fallSilent(TIMEOUT_MS)
    const order = callGateway(gateway.callerAddress, { path: '/order/1', requestId: 'running', body: 'x', timeoutMs: TIMEOUT_MS })
    await waitFor('the order to run', () => platform.backends.get('plain-1')!.records().length > 0)
    gateway.signal('SIGTERM')
    expect(await order).toMatchObject({ status: 502, isComplete: true })
    expect(await gateway.ended).toBe(0)
    expect(gateway.lines.find(({ message, requestId }) => message === 'request ended' && requestId === 'running')).toMatchObject({ outcome: 'refused', reason: 'shuttingDown', mayHaveRun: true })
    expect(gateway.lines.at(-2)).toMatchObject({ message: 'gateway stopped', open: 1 })
  })

  // Guards against streams that are withdrawn from a silent server although the stopping node may not send them to another one.
  test.each([['one backend server is', 1], ['all backend servers are', ENGINE_IDS.length]])('completes its streams while %s silent for a while', async (_which, silent) => {
    const setup = await start()
    const whole = await countWhole(setup, async () => {
      setup.gateway.signal('SIGTERM')
      await pause(300)
      for (const id of ENGINE_IDS.slice(0, silent)) setup.platform.backends.get(id)!.fallSilent(1_800)
    })
    expect(whole).toBe(STREAMS)
    expect(await setup.gateway.ended).toBe(0)
    expect(setup.gateway.lines.at(-2)).toMatchObject({ message: 'gateway stopped', open: 0 })
  })
})
