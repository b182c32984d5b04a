import { describe, expect, test } from 'vitest'
import { createPeerTarget } from './createPeerTarget.js'
import type { AttemptFailure } from './attemptTarget.js'
import type { RelayFailure } from '../../peerRelays/index.js'
import type { FinalReason, InstanceAnswer, RelayAttempt } from '../../../types/index.js'

const ATTEMPT: RelayAttempt = {
  request: { requestId: 'r1', method: 'GET', host: 'shop.example', target: '/', headers: [], credential: undefined, callerTimeoutMs: undefined, lastEventId: undefined, promptParts: [], tokens: { prompt: 0, output: 0 }, receivedAt: 0 },
  body: new Uint8Array(),
  peer: { nodeId: 'node-2', incarnation: 1, availabilityZone: 'a', address: { host: 'node-2', port: 1 } },
  origin: { nodeId: 'node-1', service: 'plain', tried: [] },
  remainingMs: 1_000,
  resumeAfter: undefined
}

const REFUSAL: InstanceAnswer = { status: 503, headers: [], requestId: undefined, isSigned: false, isNotRun: true, isOtherInstance: false, load: undefined, contentLength: 0, isEventStream: false, isEncoded: false, backoffMs: undefined, isLeaving: false }

/** Creates a target, and returns what it reports about its peer. */
const start = () => {
  const failures: RelayFailure[] = []
  const target = createPeerTarget({
    select: () => undefined,
    send: () => ({ abort: () => {}, pause: () => {}, resume: () => {} }),
    recordStart: () => {},
    recordEnd: () => {},
    recordBytes: () => {},
    recordAnswer: () => {},
    recordFailure: (_peer, _service, failure) => { failures.push(failure) },
    readIdleMs: () => 0
  }, ATTEMPT)
  return { target, failures }
}

describe('createPeerTarget', () => {
  test.each<[FinalReason, RelayFailure]>([['noInstance', 'noServer'], ['relayLimit', 'busy'], ['shuttingDown', 'busy'], ['noConfiguration', 'busy']])('reports a refusal for %s as %s', (relayRefusal, failure) => {
    const { target, failures } = start()
    target.recordRefusal({ ...REFUSAL, relayRefusal })
    expect(failures).toEqual([failure])
  })

  // Guards against a peer that is left alone for all services because one of them is full.
  test.each<FinalReason>(['serviceFull', 'instancesRefused', 'backingOff', 'warmingUp', 'zoneDrained', 'regionNotAllowed', 'unknownKey'])('reports no refusal for %s', (relayRefusal) => {
    const { target, failures } = start()
    target.recordRefusal({ ...REFUSAL, relayRefusal })
    expect(failures).toEqual([])
  })

  test.each<[AttemptFailure, readonly RelayFailure[]]>([['unreachable', ['unreachable']], ['silent', ['silent']], ['broken', []], ['errored', []]])('after a failure of kind %s reports %j', (failure, reported) => {
    const { target, failures } = start()
    target.recordFailure(failure)
    expect(failures).toEqual(reported)
  })
})
