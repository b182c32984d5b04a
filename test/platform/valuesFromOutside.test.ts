/** Tests that no value from another program ends a process: each is decoded, and what is decoded passes through every consumer. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { addresses, answerHeads, configurationSpecs, drawObjects, names, oddTexts, LIMIT_NUMBERS, quarantineSpecs, serverSpecs, spoil } from './_lib/drawOutsideValues.js'
import { startNodeWithStore } from './_lib/startNodeWithStore.js'
import { createConfigurationSource } from '../../platform/createConfigurationSource/index.js'
import { createInstanceSource } from '../../platform/createInstanceSource/index.js'
import { createPromptCacheSource } from '../../platform/createPromptCacheSource/index.js'
import { createQuarantineStore } from '../../platform/createQuarantineStore/index.js'
import { createZoneDrainSource } from '../../platform/createZoneDrainSource/index.js'
import { readNodeSettings } from '../../platform/readNodeSettings/index.js'
import { isAddress, success } from '../../src/kernel/index.js'
import type { BackendInstance, PeerAddress } from '../../src/types/index.js'

const SEED = 67
const RUNS = Number(process.env.OUTSIDE_VALUES_RUNS ?? 60)

/** What would have ended a process; the test runner goes on. */
let ends: unknown[] = []
const recordEnd = (error: unknown): void => { ends.push(error) }

beforeEach(() => {
  ends = []
  process.on('uncaughtException', recordEnd).on('unhandledRejection', recordEnd)
})

afterEach(() => { process.off('uncaughtException', recordEnd).off('unhandledRejection', recordEnd) })

const nextTurn = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

const toObject = (name: string, spec: object) => ({ metadata: { name, revision: 1 }, spec })

/** A server of each service that every other entry must leave alone. */
const SOUND = [['sound-1', 'plain'], ['sound-2', 'engines']].map(([name = '', service]) =>
  toObject(name, { service, address: '127.9.0.2:9', zone: 'zone-a', slots: 4, state: 'ready', version: 'v1', born: 1 }))

const worlds = fc.record({
  servers: drawObjects(serverSpecs),
  drains: drawObjects(fc.jsonValue()),
  quarantines: drawObjects(quarantineSpecs),
  configuration: configurationSpecs.map((spec) => toObject('main', spec)),
  heads: fc.array(answerHeads, { maxLength: 3 })
})

describe('objects of the store and heads of answers', () => {
  // One entry of a server with port 82233 ended every gateway at its first request.
  test('end no process; what is malformed is left out, and the rest holds', async () => {
    await fc.assert(fc.asyncProperty(worlds, async ({ heads, ...stored }) => {
      const { clock, node, lines, call, connectToAll, stop } = await startNodeWithStore({ ...stored, servers: [...stored.servers, ...SOUND] }, heads)
      const listed = node.resolve('instanceRegistry').all()
      expect(listed.filter(({ address }) => !isAddress(address))).toEqual([])
      expect(listed.map(({ id }) => id)).toEqual(expect.arrayContaining(['sound-1', 'sound-2']))
      const calls = Array.from({ length: 8 }, (_, index) => call(index % 2 === 0 ? '/lookup/1' : '/chat/1', index))
      await clock.advanceAndSettle(6_000)
      await connectToAll()
      await nextTurn()
      expect(ends).toEqual([])
      expect(calls.filter(({ isFinal }) => !isFinal)).toEqual([])
      const reasons = lines.map((line) => JSON.parse(line) as Record<string, unknown>).filter(({ message }) => message === 'backend server entry is malformed').map(({ reason }) => reason)
      expect(reasons.filter((reason) => typeof reason !== 'string' || reason === '' || reason.length > 200)).toEqual([])
      await stop()
    }), { seed: SEED, numRuns: RUNS })
  })
})

describe('replies of the store', () => {
  // A reply that is JSON but no object made a read reject, which ended the process.
  test('of any content are read or refused', async () => {
    const objects = drawObjects(fc.oneof(serverSpecs, quarantineSpecs, configurationSpecs))
    const replies = fc.oneof(
      fc.json(),
      oddTexts,
      fc.record({ items: objects, has_more: fc.boolean(), current_rev: fc.constantFrom<unknown>(...LIMIT_NUMBERS, 'seven') }).map((reply) => JSON.stringify(reply)),
      fc.record({ events: fc.array(fc.oneof(objects.map(([object]) => ({ object, deleted: true })), fc.jsonValue())), current_rev: fc.constant(7) }).map((reply) => JSON.stringify(reply)),
      configurationSpecs.map((spec) => JSON.stringify(toObject('main', spec)))
    )
    await fc.assert(fc.asyncProperty(replies, oddTexts, async (text, name) => {
      const reply = async () => success({ status: 200, body: Buffer.from(text) })
      const client = { get: reply, send: reply, close: () => {} }
      const [instances, drains, quarantines] = [createInstanceSource(client), createZoneDrainSource(client), createQuarantineStore(client)]
      const part = { service: 'engines', part: name, servers: [name], endsAtFirst: 0, trials: 0 }
      const results = await Promise.all([
        instances.list(), instances.list(name), instances.watch(1, 1), drains.list(), drains.watch(1, 1),
        quarantines.list(), quarantines.watch(1, 1), quarantines.create(name, part), quarantines.update(name, part, 1), quarantines.remove(name), createConfigurationSource(client).read()
      ])
      expect(results.filter(({ ok }) => typeof ok !== 'boolean')).toEqual([])
    }), { seed: SEED, numRuns: 10 * RUNS })
  })
})

const SETTINGS = { node_name: 'n', zone: 'a', ip: '10.0.0.1', 'listen.front': '10.0.0.1:1', 'listen.ready': '10.0.0.1:2', 'listen.control': '10.0.0.1:3', internal_ports: '3,9', seeds: '10.0.0.2:3', 'platform.address': '10.0.0.9:5', 'limits.cpu_share': '0.5', 'limits.cores': '1', 'limits.memory_mb': '300', bootstrap: 'true', contracts: 'base', 'zones.a': 'north', 'bounds.grace_s': '8', 'bounds.revoke_on_partition': 'true', 'bounds.revoke_ms': '5000', 'bounds.config_apply_ms': '2000', 'bounds.drain_ms': '2000', 'bounds.retry_ratio': '0.2', 'bounds.retry_extra': '50', 'bounds.retry_window_s': '10', 'bounds.evacuate_ms': '1', 'bounds.cold_excess': '1.5', 'bounds.cold_slack': '2', 'bounds.cap_factor': '2' }

const OPTIONAL = Object.keys(SETTINGS).filter((name) => !/^(node_name|zone|ip|listen\.(front|ready)|internal_ports|platform\.address)$/.test(name))

const isListener = ({ host, port }: PeerAddress): boolean => isAddress({ host, port: port === 0 ? 1 : port })

describe('settings files', () => {
  test('are refused, or every address and time in them can be used', () => {
    const files = spoil(SETTINGS).chain((fields) => fc.tuple(fc.constant(fields), fc.array(fc.tuple(fc.constantFrom(...Object.keys(SETTINGS)), fc.oneof(oddTexts, addresses, fc.constantFrom(...LIMIT_NUMBERS.map(String), '9'.repeat(400), '70000,70015'))), { maxLength: 2 })))
      .map(([fields, changes]) => Object.entries({ ...fields, ...Object.fromEntries(changes) }).map(([name, value]) => `${name}=${String(value)}`).join('\n'))
    fc.assert(fc.property(fc.oneof(files, fc.string(), fc.string({ unit: 'binary' })), (text) => {
      const read = readNodeSettings(text)
      if (!read.ok) return
      const { gateway, storeAddress } = read.value
      expect([storeAddress, ...gateway.seedPeers].filter((address) => !isAddress(address))).toEqual([])
      expect([gateway.callerAddress, gateway.readinessAddress, gateway.peerAddress, gateway.metricsAddress, gateway.relayAddress].filter((address) => address !== undefined && !isListener(address))).toEqual([])
      const times = [gateway.graceMs, gateway.keyRevocationMs, gateway.configurationDelayMs, gateway.serverDrainMs, gateway.retryWindowMs]
      expect(times.filter((ms) => !(ms >= 0 && ms < 2 ** 31))).toEqual([])
      expect([gateway.retryWindowMs, gateway.loadFactor, gateway.millicores ?? 1, gateway.memoryMb ?? 1].filter((value) => !(value > 0 && value < Infinity))).toEqual([])
    }), { seed: SEED, numRuns: 20 * RUNS })
  })

  test('may have any of their optional fields empty', () => {
    fc.assert(fc.property(fc.subarray(OPTIONAL), (empty) => {
      const text = Object.entries(SETTINGS).map(([name, value]) => `${name}=${empty.includes(name) ? '' : value}`).join('\n')
      expect(readNodeSettings(text)).toMatchObject({ ok: true })
    }), { seed: SEED, numRuns: 5 * RUNS })
  })
})

describe('reports of cached prompt parts', () => {
  test('of any content end no process', async () => {
    let body = ''
    const server = createServer((_request, response) => { response.setHeader('Retry-After', '1').end(body) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    const instance: BackendInstance = { id: 'i-1', service: 'engines', address: { host: '127.0.0.1', port }, availabilityZone: 'a', slots: 1, isLeaving: false, incarnation: 1, warmUpMs: 0 }
    const rows = fc.array(fc.oneof(fc.tuple(fc.constant(''), names, fc.constantFrom(...LIMIT_NUMBERS), fc.constant('m')), fc.jsonValue()), { maxLength: 4 })
    const bodies = fc.oneof(fc.record({ held: rows }).map((value) => JSON.stringify(value)), fc.json(), oddTexts)
    await fc.assert(fc.asyncProperty(bodies, async (text) => {
      body = text
      const listed = await createPromptCacheSource().list(instance, () => {})
      expect(listed.ok || listed.error.kind === 'malformed' || listed.error.kind === 'unavailable').toBe(true)
      expect(ends).toEqual([])
    }), { seed: SEED, numRuns: RUNS })
    await new Promise((resolve) => { server.close(resolve) })
  })
})
