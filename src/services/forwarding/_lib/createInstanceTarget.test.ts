import { describe, expect, test } from 'vitest'
import { createInstanceTarget } from './createInstanceTarget.js'
import type { AttemptTarget } from './attemptTarget.js'
import type { RequestHandlerContext } from './requestHandler.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../../emulator/createMemoryPeerNetwork/index.js'
import { createPromptDirectory } from '../../promptDirectory/index.js'
import type { EngineCapacity, GatewayAttempt, GatewayRoute, InstanceAnswer, Member } from '../../../types/index.js'

const ENGINE: EngineCapacity = { slots: 24, memoryTokens: 200_000, bytesPerToken: 100_000, linkMbps: 1_000_000, canMove: true, canBackUp: true, copyLifetimeMs: 5_000, tokensPerEvent: 5 }
const MEMBER: Member = { nodeId: 'n', incarnation: 1, address: { host: 'n', port: 1 }, availabilityZone: 'a', state: 'live', generation: 1 }
const PARTS = [{ id: 'menu', tokens: 8_000 }, { id: 'own', tokens: 100 }]
const ANSWER: InstanceAnswer = {
  status: 200, headers: [], requestId: 'r', isSigned: true, isNotRun: false, isOtherInstance: false, load: undefined, contentLength: undefined, isEventStream: true, isEncoded: false, backoffMs: undefined, isLeaving: false
}

/** One attempt at a server of a service whose engines are described or not, with a real directory. */
const createAttempt = (engine: EngineCapacity | undefined) => {
  const clock = createManualClock()
  const transport = createMemoryPeerNetwork({ clock }).createTransport(MEMBER.address)
  const directory = createPromptDirectory({ clock, transport, membership: { self: () => MEMBER, liveMembers: () => [MEMBER] } }).api
  const context = {
    directory,
    configuration: { current: () => ({ services: new Map([['engines', { engine }]]) }) },
    loadView: { recordStart: () => {}, recordEnd: () => {}, applyReport: () => {} },
    health: { recordStart: () => {}, recordEnd: () => {}, record: () => {}, readIdleMs: () => 0 },
    notices: { record: () => {} },
    warmUp: { recordSend: () => {} },
    work: { recordSend: () => ({ recordFirstBytes: () => {}, recordEnd: () => {} }), recordLoad: () => {} },
    refusals: { recordSend: () => () => {} }
  } as unknown as RequestHandlerContext
  const instance = { id: 's1', service: 'engines', incarnation: 1 }
  const target: AttemptTarget = createInstanceTarget(context, { name: 'replies' } as GatewayRoute, { instance, request: { requestId: 'r', promptParts: PARTS, tokens: { prompt: 8_100, output: 10 } } } as unknown as GatewayAttempt)
  target.recordStart()
  return { target, readCached: () => directory.listCachedTokens(PARTS).get('s1@1') ?? 0, readCopyable: () => directory.listCopyableTokens(PARTS).get('s1@1') ?? 0 }
}

describe('a prompt at a described engine', () => {
  test('draws requests while it is read, and can be copied once the answer has begun', () => {
    const { target, readCached, readCopyable } = createAttempt(ENGINE)
    expect([readCached(), readCopyable()]).toEqual([8_100, 0])
    target.recordHead(ANSWER)
    target.recordEnd()
    expect([readCached(), readCopyable()]).toEqual([8_100, 8_100])
  })

  // Guards against prompts that are sought at a server that never got them: it was cut off, it refused, or the caller left.
  test.each<[string, readonly InstanceAnswer[]]>([
    ['no connection was opened', []],
    ['the server refused', [{ ...ANSWER, status: 503, isNotRun: true }]],
    ['the server failed', [{ ...ANSWER, status: 500 }]],
    ['the answer is that to another request', [{ ...ANSWER, requestId: 'other' }]],
    ['the answer has no request id', [{ ...ANSWER, requestId: undefined }]]
  ])('is forgotten when %s', (_why, answers) => {
    const { target, readCached } = createAttempt(ENGINE)
    for (const answer of answers) target.recordHead(answer)
    target.recordEnd()
    expect(readCached()).toBe(0)
  })

  test('may be silent because the engine reads', () => expect(createAttempt(ENGINE).target.describeSilence().isModelEngine).toBe(true))
})

describe('a prompt at an engine that is not described', () => {
  test('counts as cached from the send on, as before', () => {
    const { target, readCached, readCopyable } = createAttempt(undefined)
    expect([readCached(), readCopyable()]).toEqual([8_100, 8_100])
    target.recordEnd()
    expect(readCached()).toBe(8_100)
  })

  test('gets no more time than any server', () => expect(createAttempt(undefined).target.describeSilence().isModelEngine).toBe(false))
})
