import { describe, expect, test } from 'vitest'
import { countSentTokens, createServerWork } from './index.js'
import type { RunningServerWork, SentTokens } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { BackendInstance, EngineCapacity, GatewayConfiguration } from '../../types/index.js'

const ENGINE: EngineCapacity = { slots: 24, memoryTokens: 200_000, bytesPerToken: 1, linkMbps: 1_000, canMove: false, canBackUp: false, copyLifetimeMs: 0, tokensPerEvent: 1 }
const INSTANCE: BackendInstance = { id: 'engine-1', service: 'engines', address: { host: 'h', port: 1 }, availabilityZone: 'a', slots: 24, isLeaving: false, incarnation: 1, warmUpMs: 0 }
const PLAIN_INSTANCE: BackendInstance = { ...INSTANCE, id: 'plain-1', service: 'plain' }
const CONFIGURATION: GatewayConfiguration = {
  version: 1,
  routes: [],
  services: new Map([['engines', { name: 'engines', healthPath: '/', maximumConnections: 1, isModelService: true, engine: ENGINE }]]),
  limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  needsKeys: false,
  accountsByKey: new Map()
}

const createTokens = (missingTokens: number): SentTokens => ({ missingTokens, expectedOutputTokens: 100, maximumOutputTokens: 400 })

type Load = { readonly total: number, readonly own: number }

const createWork = (load: Load = { total: 0, own: 0 }, unreadOfPeers = 0) => {
  const clock = createManualClock()
  const warnings: string[] = []
  const work: RunningServerWork = createServerWork({
    clock,
    logger: { warn: (message) => { warnings.push(message) } },
    configuration: { current: () => CONFIGURATION },
    loadView: { estimateInFlight: () => load.total, ownInFlight: () => load.own },
    readPeersUnread: () => ({ tokens: unreadOfPeers, at: 0 })
  })
  return { clock, warnings, work, readUnread: () => work.api.estimate(INSTANCE)?.unreadTokens }
}

/** Lets the node observe that engines read 50 tokens in a millisecond. */
const observePace = async ({ clock, work }: ReturnType<typeof createWork>): Promise<void> => {
  const sent = work.api.recordSend(INSTANCE, createTokens(10_000))
  await clock.advanceAndSettle(200)
  sent.recordFirstBytes(true)
  sent.recordEnd()
}

describe('unread tokens', () => {
  test('last from the send to the first bytes', () => {
    const { work, readUnread } = createWork()
    const sent = work.api.recordSend(INSTANCE, createTokens(9_000))
    const before = readUnread()
    sent.recordFirstBytes(true)
    expect([before, readUnread()]).toEqual([9_000, 0])
  })

  test('end with a send that fails', () => {
    const { work, readUnread } = createWork()
    work.api.recordSend(INSTANCE, createTokens(9_000)).recordEnd()
    expect([readUnread(), work.readUnreadTokens().size]).toEqual([0, 0])
  })

  test('shrink at the observed pace', async () => {
    const context = createWork()
    await observePace(context)
    context.work.api.recordSend(INSTANCE, createTokens(9_000))
    context.work.api.recordSend(INSTANCE, createTokens(1_000))
    await context.clock.advanceAndSettle(100)
    expect(context.readUnread()).toBeCloseTo(5_000)
  })

  // Guards against an engine that is avoided for ever because the event that ends a send was lost.
  test('are dropped after a while without any event', async () => {
    const { clock, work, readUnread } = createWork()
    work.api.recordSend(INSTANCE, createTokens(9_000))
    await clock.advanceAndSettle(5_000)
    expect(readUnread()).toBe(0)
  })

  test('of peers shrink at the observed pace', async () => {
    const context = createWork({ total: 0, own: 0 }, 30_000)
    await observePace(context)
    // The first send had 40,000 tokens to wait for in 200 ms.
    expect(context.readUnread()).toBeCloseTo(0)
  })

  test('are not kept for a service whose engines are not described', () => {
    const { work } = createWork()
    work.api.recordSend(PLAIN_INSTANCE, createTokens(9_000))
    expect([work.api.estimate(PLAIN_INSTANCE), work.readUnreadTokens().size]).toEqual([undefined, 0])
  })
})

describe('free memory', () => {
  test('counts own requests until they end, and those of peers by the mean', () => {
    const { work } = createWork({ total: 4, own: 1 })
    const sent = work.api.recordSend(INSTANCE, createTokens(9_000))
    const during = work.api.estimate(INSTANCE)
    sent.recordEnd()
    expect(during).toMatchObject({ memoryFreeTokens: 200_000 - 4 * 9_100, memoryFreeAtMaximumTokens: 200_000 - 4 * 9_400 })
    expect(work.api.estimate(INSTANCE)?.memoryFreeTokens).toBe(200_000 - 3 * 9_100)
  })
})

describe('a stated slowdown', () => {
  test('is believed for a moment only', async () => {
    const { clock, work } = createWork()
    work.api.recordLoad(INSTANCE, { running: 1, waiting: 0, slots: 24, slowdown: 2.5 })
    const atOnce = work.api.readSlowdown(INSTANCE)
    await clock.advanceAndSettle(300)
    expect([atOnce, work.api.readSlowdown(INSTANCE)]).toEqual([{ slowdown: 2.5, ageMs: 0 }, undefined])
  })

  test.each([Number.NaN, -1, 0, Infinity])('of %s counts as none and is logged once', (slowdown) => {
    const { work, warnings } = createWork()
    for (let count = 0; count < 3; count++) work.api.recordLoad(INSTANCE, { running: 1, waiting: 0, slots: 24, slowdown })
    expect([work.api.readSlowdown(INSTANCE), warnings]).toEqual([undefined, ['backend server slowdown is malformed']])
  })
})

describe('the state of a server', () => {
  test('is kept while a send is open', () => {
    const { work, readUnread } = createWork()
    const sent = work.api.recordSend(INSTANCE, createTokens(9_000))
    work.retain(new Set())
    const whileOpen = readUnread()
    sent.recordEnd()
    work.retain(new Set())
    expect([whileOpen, readUnread()]).toEqual([9_000, 0])
  })
})

describe('countSentTokens', () => {
  test.each([[100, 100], [900, 400], [undefined, 400], [Number.NaN, 0]])('expects an output of %s as %s tokens', (estimatedOutputTokens, expected) =>
    expect(countSentTokens({ tokens: { prompt: 9_000, output: 400 }, ...(estimatedOutputTokens === undefined ? {} : { estimatedOutputTokens }) }, 8_000))
      .toEqual({ missingTokens: 1_000, expectedOutputTokens: expected, maximumOutputTokens: 400 }))
})
