import { describe, expect, test } from 'vitest'
import { createGatewayConfiguration } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { failure, success } from '../../kernel/index.js'
import { packRecords } from './_lib/packRecords.js'
import type { ConfigurationUpdate, ConfigurationSource, GatewayConfiguration, Logger, SourcedConfiguration } from '../../types/index.js'

const SILENT_LOGGER: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

const createConfiguration = (version: number): GatewayConfiguration => ({
  version,
  routes: [],
  services: new Map(),
  limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  needsKeys: true,
  accountsByKey: new Map()
})

const toSourced = (version: number): SourcedConfiguration => ({ configuration: createConfiguration(version), records: { rest: [version] }, revision: version })

const packVersion = (version: number): ConfigurationUpdate => ({ kind: 'whole', revision: version, bytes: packRecords({ rest: [version] }) })

const createHolder = (read: ConfigurationSource['read']) => {
  const clock = createManualClock()
  const source: ConfigurationSource = {
    read,
    decode: ({ rest }) => {
      const version = Number(rest?.[0])
      return Number.isNaN(version) ? failure({ kind: 'malformed', message: 'not a number' }) : success(toSourced(version))
    }
  }
  const clocks = { monotonic: clock.now, wall: clock.now, boot: clock.now }
  const holder = createGatewayConfiguration({ clock, source, logger: SILENT_LOGGER, clocks }, { readIntervalMs: 800 })
  const readClocks = () => ({ monotonic: clock.now(), wall: clock.now(), boot: clock.now() })
  return { clock, holder, readClocks }
}

describe('a configuration that comes into force', () => {
  // Guards against requests that wait for the first configuration and resume before its confirmation is recorded: they were refused.
  test('is confirmed before its listeners are called', async () => {
    const { clock, holder } = createHolder(async () => success(toSourced(3)))
    const ages: number[] = []
    holder.api.onChange(() => ages.push(holder.api.confirmedAgeMs()))
    holder.start?.()
    await clock.advanceAndSettle(10)
    expect(ages).toEqual([0])
  })

  test('is in force when a wait for a confirmation ends', async () => {
    let version = 3
    const { clock, holder } = createHolder(async () => success(toSourced(version)))
    holder.start?.()
    await clock.advanceAndSettle(10)
    version = 4
    const found = holder.api.confirm(400).then(() => holder.api.version())
    await clock.advanceAndSettle(10)
    expect(await found).toBe(4)
  })
})

describe('a reply of a peer', () => {
  // Guards against a newer configuration that cannot be decoded but confirms the older one: a revoked key stayed in use.
  test.each<[string, ConfigurationUpdate]>([
    ['bytes that are not packed records', { kind: 'whole', revision: 4, bytes: Buffer.from('spoilt') }],
    ['records that the source refuses', { kind: 'whole', revision: 4, bytes: packRecords({ rest: ['spoilt'] }) }],
    ['a change to a configuration that this node does not have', { kind: 'change', revision: 4, base: 2, change: { rest: [{ records: [4] }] } }],
    // An exception here ended the process.
    ['a change whose steps are no list', { kind: 'change', revision: 4, base: 3, change: { rest: 7 as unknown as [] } }],
    ['a change that names more records than there are', { kind: 'change', revision: 4, base: 3, change: { rest: [{ from: 0, count: 2 }] } }]
  ])('with a newer configuration as %s confirms nothing', (_name, update) => {
    const { holder, readClocks } = createHolder(async () => failure({ kind: 'unavailable', message: 'away' }))
    holder.applyPeerUpdate(readClocks(), 100, 3, packVersion(3))
    expect(holder.api.confirmedAgeMs()).toBe(100)
    holder.applyPeerUpdate(readClocks(), 0, 4, update)
    expect(holder.api.version()).toBe(3)
    expect(holder.api.confirmedAgeMs()).toBe(100)
  })

  test('with the same version confirms it', () => {
    const { holder, readClocks } = createHolder(async () => failure({ kind: 'unavailable', message: 'away' }))
    holder.applyPeerUpdate(readClocks(), 100, 3, packVersion(3))
    holder.applyPeerUpdate(readClocks(), 20, 3, undefined)
    expect(holder.api.confirmedAgeMs()).toBe(20)
  })
})

describe('a read of the source', () => {
  // An exception here ended the process, and no further read began.
  test('that throws counts as failed, and the next one begins', async () => {
    let reads = 0
    const { clock, holder } = createHolder(async () => {
      reads += 1
      if (reads === 1) throw new TypeError('no object')
      return success(toSourced(3))
    })
    holder.start?.()
    await clock.advanceAndSettle(2_000)
    expect([holder.api.version(), holder.isSourceReachable()]).toEqual([3, true])
  })
})

describe('an outage of the source', () => {
  // Guards against a read of the source by every request that waits for a confirmation: in an outage the calls grew with the request rate.
  test('causes no more reads when many requests wait for a confirmation', async () => {
    const countReads = async (requestsPerSecond: number): Promise<number> => {
      let reads = 0
      const { clock, holder } = createHolder(async () => {
        reads += 1
        return failure({ kind: 'unavailable', message: 'reset' })
      })
      holder.start?.()
      for (let second = 0; second < 8; second++) {
        for (let request = 0; request < requestsPerSecond; request++) {
          await clock.advanceAndSettle(1_000 / requestsPerSecond)
          await holder.api.confirm(400)
        }
      }
      return reads
    }
    expect(await countReads(40)).toBe(await countReads(1))
  })
})

// One exception in a listener ended the reads: the configuration was never confirmed again, and requests with keys were refused.
test('reads the source on after a listener threw, and tells the other listeners', async () => {
  let version = 3
  const { clock, holder } = createHolder(async () => success(toSourced(version)))
  const told: number[] = []
  holder.api.onChange(() => { throw new Error('unexpected') })
  holder.api.onChange((configuration) => told.push(configuration.version))
  holder.start?.()
  await clock.advanceAndSettle(10)
  version = 4
  await clock.advanceAndSettle(2_000)
  expect(told).toEqual([3, 4])
  expect(holder.api.confirmedAgeMs()).toBeLessThanOrEqual(800)
})
