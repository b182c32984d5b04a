import { describe, expect, test } from 'vitest'
import { createInstanceHealth } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { BackendInstance, Logger } from '../../types/index.js'

const SILENT_LOGGER: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

const SERVER: BackendInstance = { id: 'engine-1', service: 'engines', address: { host: 'engine-1', port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0 }

const start = (mayProbe: (now: number) => boolean) => {
  const clock = createManualClock()
  const probes: number[] = []
  const { api } = createInstanceHealth({
    clock,
    logger: SILENT_LOGGER,
    client: {
      probe: async () => {
        probes.push(clock.now())
        return true
      }
    },
    mayProbe: () => mayProbe(clock.now())
  })
  return { clock, api, probes }
}

describe('a server that was unreachable', () => {
  test('is probed until it is reached', async () => {
    const { clock, api, probes } = start(() => true)
    api.record(SERVER, { kind: 'unreachable' })
    await clock.advanceAndSettle(2_000)
    expect(probes).toHaveLength(1)
    expect(api.isSuspended(SERVER)).toBe(false)
  })

  // A probe takes one of the connections of a server that asked for none.
  test('is not probed while it accepts no probes, but afterwards', async () => {
    const { clock, api, probes } = start((now) => now >= 3_000)
    api.record(SERVER, { kind: 'unreachable' })
    await clock.advanceAndSettle(2_900)
    expect(probes).toEqual([])
    await clock.advanceAndSettle(1_000)
    expect(probes).toHaveLength(1)
    expect(api.isSuspended(SERVER)).toBe(false)
  })
})

describe('servers that are silent for a second', () => {
  const createServer = (id: string, availabilityZone: string): BackendInstance => ({ ...SERVER, id, availabilityZone })
  const silent = [createServer('a1', 'a'), createServer('a2', 'a'), createServer('b1', 'b')]
  const others = [createServer('a3', 'a'), createServer('b2', 'b'), createServer('c1', 'c')]

  /** Servers stay silent, and connections to them fail, until they are reached again. */
  const startSilence = async (silenceMs: number) => {
    const { clock, api } = start(() => false)
    for (const server of silent) api.record(server, { kind: 'silent' })
    await clock.advanceAndSettle(silenceMs)
    return api
  }

  // Guards against taking a second of silence for a partition, which would keep requests from servers that are sound.
  test('take neither their zones nor all servers out of service', async () => {
    const api = await startSilence(1_200)
    expect(others.map(api.isSuspended)).toEqual([false, false, false])
  })

  test('do so when the silence goes on, until one of them is reached', async () => {
    const api = await startSilence(1_400)
    expect(others.map(api.isSuspended)).toEqual([true, true, true])
    api.recordBytes(silent[2]!)
    expect(others.map(api.isSuspended)).toEqual([true, false, false])
  })
})
