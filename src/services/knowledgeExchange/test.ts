import fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, test } from 'vitest'
import { createKnowledgeExchange } from './index.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createSourceContact } from '../_lib/createSourceContact.js'
import { failure, success } from '../../kernel/index.js'
import { createGatewayConfiguration } from '../gatewayConfiguration/index.js'
import { createHeartbeatExchange } from '../heartbeatExchange/index.js'
import { createInstanceRegistry } from '../instanceRegistry/index.js'
import { createZoneDrains } from '../zoneDrains/index.js'
import type { Logger, Member, PeerReply, SourceError } from '../../types/index.js'

let ends: unknown[] = []
const recordEnd = (error: unknown): void => { ends.push(error) }

beforeEach(() => {
  ends = []
  process.on('unhandledRejection', recordEnd)
})

afterEach(() => { process.off('unhandledRejection', recordEnd) })

const createMember = (nodeId: string): Member => ({ nodeId, incarnation: 1, address: { host: '10.0.0.1', port: 1 }, availabilityZone: 'a', state: 'live', generation: 1 })

const MEMBERS = ['n1', 'n2'].map(createMember)

const SERVER = { id: 'i-1', service: 's', address: { host: '10.0.0.2', port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0 }

const KNOWLEDGE = { kind: 'knowledge', version: 1, ageMs: 0, revision: 5, instances: { isWhole: true, instances: [SERVER], removed: ['i-2'], position: { origin: 1, sequence: 1 } }, zoneDrains: { revision: 5, zones: ['a'] }, configuration: { kind: 'whole', revision: 1, bytes: Buffer.from('none') } }

const unavailable = async () => failure<SourceError>({ kind: 'unavailable', message: 'away' })

/** Lets a node ask its only peer, which gives this reply; returns the servers that the node knows then, and what it logged. */
const ask = async (reply: unknown) => {
  const clock = createManualClock()
  const messages: string[] = []
  const write = (message: string): void => { messages.push(message) }
  const logger: Logger = { error: write, warn: write, info: write, debug: write }
  const clocks = { monotonic: clock.now, wall: clock.now, boot: clock.now }
  const registry = createInstanceRegistry({ clock, source: { list: unavailable, watch: unavailable }, logger }, { watchWaitMs: 100, contact: createSourceContact({ clock, logger }, { minimumOutageMs: 2_400 }) })
  const exchange = createKnowledgeExchange({
    clock,
    random: createSeededRandom(67),
    transport: { send: () => {}, request: async () => success(reply as PeerReply), handle: () => {}, close: async () => {} },
    membership: { members: () => MEMBERS, liveMembers: () => MEMBERS, self: () => MEMBERS[0]! },
    exchange: createHeartbeatExchange(),
    configuration: createGatewayConfiguration({ clock, source: { read: unavailable, decode: () => failure({ kind: 'malformed', message: 'none' }) }, logger, clocks }, { readIntervalMs: 800 }),
    registry,
    zoneDrains: createZoneDrains({ clock, source: { list: unavailable, watch: unavailable }, logger }, { watchWaitMs: 100, contact: createSourceContact({ clock, logger }, { minimumOutageMs: 2_400 }) }),
    clocks,
    logger
  }, { queryIntervalMs: 500 })
  exchange.api.queryPeers()
  await new Promise((resolve) => { setImmediate(resolve) })
  return { servers: registry.api.all().map(({ id }) => id), messages }
}

describe('a reply of a peer', () => {
  test('is applied', async () => expect((await ask(KNOWLEDGE)).servers).toEqual(['i-1']))

  // An exception while the reply was applied ended the process, or left its state half changed.
  test('of another form is refused as a whole, and logged', async () => {
    const odd = fc.constantFrom<unknown>(undefined, null, 7, Number.NaN, 'text', [], {}, [null], [7])
    const places = [['version'], ['ageMs'], ['revision'], ['instances'], ['instances', 'instances'], ['instances', 'removed'], ['instances', 'position'], ['zoneDrains'], ['zoneDrains', 'zones'], ['configuration'], ['configuration', 'bytes'], ['configuration', 'kind']]
    await fc.assert(fc.asyncProperty(fc.constantFrom(...places), odd, async ([name = '', inner], value) => {
      const field = (KNOWLEDGE as Readonly<Record<string, unknown>>)[name]
      const { servers, messages } = await ask({ ...KNOWLEDGE, [name]: inner === undefined ? value : { ...field as object, [inner]: value } })
      expect(ends).toEqual([])
      if (messages.includes('reply of a peer is malformed')) expect(servers).toEqual([])
    }), { seed: 67, numRuns: 200 })
    expect((await ask({ ...KNOWLEDGE, instances: { ...KNOWLEDGE.instances, instances: [null] } })).messages).toContain('reply of a peer is malformed')
  })
})
