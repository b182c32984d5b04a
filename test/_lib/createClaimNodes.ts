/** Creates nodes that each run the claims service, over one in-memory platform and an in-process peer transport. */
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { createManualClock } from '../../src/emulator/createManualClock/index.js'
import { createMemoryPlatform } from '../../src/emulator/createMemoryPlatform/index.js'
import { failure, success } from '../../src/kernel/index.js'
import { createClaims } from '../../src/services/claims/index.js'
import type { ClaimsOptions } from '../../src/services/claims/index.js'
import type { Claims, Logger, Member, Membership, PeerMessage, PeerReply, PeerTransport, Platform } from '../../src/types/index.js'
import { createFaultyPlatform } from './createFaultyPlatform.js'
import type { FaultyPlatform } from './createFaultyPlatform.js'

export type ClaimNode = {
  readonly nodeId: string
  readonly claims: Claims
  readonly platform: FaultyPlatform
  /** Whether peers reach this node. */
  readonly setReachable: (isReachable: boolean) => void
}

export type ClaimNodes = {
  readonly nodes: readonly ClaimNode[]
  /** The store itself, without faults. */
  readonly platform: Platform
  /** Replaces a node by one with the same id and empty memory, as a process restart does. */
  readonly restart: (nodeId: string) => ClaimNode
  /** Advances the clock by 1 ms at a time and drains the event loop until the promise settles. */
  readonly settle: <Value>(promise: Promise<Value>) => Promise<Value>
  readonly run: (ms: number) => Promise<void>
}

const WALL_TIME = 1_700_000_000_000
const MAXIMUM_SETTLE_MS = 20_000

const silentLogger: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

export const claimOptions: ClaimsOptions = {
  shards: 1,
  flushIntervalMs: 5,
  retentionMs: 3_600_000,
  peerTimeoutMs: 50,
  maximumAnswerBytes: 1_000,
  outagePauseMs: 20,
  pruneEvery: 1_000_000
}

type Endpoint = { readonly handlers: Map<string, (message: never) => PeerReply | Promise<PeerReply>>, isReachable: boolean }

export const createClaimNodes = (count: number, overrides: Partial<ClaimsOptions> = {}, seed = 1): ClaimNodes => {
  const clock = createManualClock(WALL_TIME)
  const platform = createMemoryPlatform(clock)
  const random = createSeededRandom(seed)
  const endpoints = new Map<number, Endpoint>()
  const members: readonly Member[] = Array.from({ length: count }, (_, index) => ({
    nodeId: `router-${index}`,
    incarnation: 1,
    address: { host: 'node', port: index },
    availabilityZone: 'venkov-a',
    state: 'live',
    generation: 1
  }))

  const createTransport = (port: number): PeerTransport => {
    const endpoint: Endpoint = { handlers: new Map(), isReachable: true }
    endpoints.set(port, endpoint)
    return {
      send: () => {},
      request: async (address, message: PeerMessage, timeoutMs) => {
        const target = endpoints.get(address.port)
        const handler = target?.handlers.get(message.kind)
        if (target?.isReachable !== true || handler === undefined) return failure({ kind: 'unreachable', message: 'cut' })
        return await new Promise((resolve) => {
          clock.setTimer(timeoutMs, () => { resolve(failure({ kind: 'timeout' })) })
          Promise.resolve(handler(message as never)).then((reply) => { resolve(success(reply)) })
        })
      },
      handle: (kind, handler) => { endpoint.handlers.set(kind, handler as never) },
      close: async () => {}
    }
  }

  const startNode = (index: number): ClaimNode => {
    const self = members[index]!
    const faulty = createFaultyPlatform(platform)
    const membership: Membership = {
      self: () => self,
      members: () => members,
      liveMembers: () => members,
      announceLeaving: () => {},
      onChange: () => {}
    }
    const transport = createTransport(index)
    const { api } = createClaims({ clock, random, platform: faulty, transport, membership, logger: silentLogger, options: { ...claimOptions, ...overrides } })
    return { nodeId: self.nodeId, claims: api, platform: faulty, setReachable: (isReachable) => { endpoints.get(index)!.isReachable = isReachable } }
  }

  const run = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 1) {
      await clock.advance(1)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }

  const settle = async <Value>(promise: Promise<Value>): Promise<Value> => {
    const progress = { isSettled: false }
    const markSettled = (): void => { progress.isSettled = true }
    promise.then(markSettled, markSettled)
    for (let elapsedMs = 0; !progress.isSettled && elapsedMs < MAXIMUM_SETTLE_MS; elapsedMs += 1) await run(1)
    if (!progress.isSettled) throw new Error('promise did not settle within 20 s of manual clock time')
    return await promise
  }

  return {
    nodes: members.map((_, index) => startNode(index)),
    platform,
    restart: (nodeId) => startNode(members.findIndex((member) => member.nodeId === nodeId)),
    settle,
    run
  }
}
