import { describe, expect, it } from 'vitest'
import type { BackendInstance, GatewayAttempt, GatewayRequest } from '../../types/index.js'
import { createManualClock } from '../createManualClock/index.js'
import { createModelEngine, type ModelEngineOptions } from '../createModelEngine/index.js'
import { createEngineClients } from './index.js'

const INSTANCE: BackendInstance = { id: 'engine-1', service: 'engines', address: { host: 'engine-1', port: 1 }, availabilityZone: 'a', slots: 1, isLeaving: false, incarnation: 1, warmUpMs: 0 }

const buildAttempt = (requestId: string, resumeAfter?: number): GatewayAttempt => {
  const request: GatewayRequest = {
    requestId, method: 'POST', host: 'model.example', target: '/', headers: [], credential: undefined, callerTimeoutMs: undefined, lastEventId: undefined, promptParts: [{ id: requestId, tokens: 100 }], tokens: { prompt: 100, output: 100 }, receivedAt: 0
  }
  return { request, body: new Uint8Array(), instance: INSTANCE, account: 'kiosk', remainingMs: 1_000, priority: 5, resumeAfter, copyPromptFrom: undefined }
}

const startEngine = (options: Partial<ModelEngineOptions> = {}) => {
  const clock = createManualClock()
  const engine = createModelEngine(clock, { slots: 1, maximumWaiting: 0, graceMs: 0, ...options })
  const clients = createEngineClients({ clock, engines: new Map([[INSTANCE.id, engine]]), delayMs: 1, tokensPerEvent: 8, countAnswerTokens: () => 20 })
  const client = clients.create()
  const send = (attempt: GatewayAttempt, maySend = true) => {
    const seen: string[] = []
    const exchange = client.send(attempt, {
      maySend: () => maySend,
      onSent: () => { seen.push('sent') },
      onHead: ({ status, isNotRun, load }) => { seen.push(`head ${status}${isNotRun ? ' not run' : ''} of ${load?.slots}`) },
      onData: (bytes) => { seen.push(Buffer.from(bytes).toString().split('\n')[0]!) },
      onEnd: () => { seen.push('end') },
      onFailure: ({ kind }) => { seen.push(kind) }
    })
    return { seen, exchange }
  }
  return { clock, engine, clients, send }
}

describe('createEngineClients', () => {
  it('answers in events, and resumes a stream after an event', () => {
    const { clock, send } = startEngine({ maximumWaiting: 1 })
    const whole = send(buildAttempt('whole'))
    const resumed = send(buildAttempt('resumed', 2))
    clock.runUntilIdle(10_000)
    expect(whole.seen).toEqual(['sent', 'head 200 of 1', 'id: 1', 'id: 2', 'id: 3', 'end'])
    expect(resumed.seen).toEqual(['sent', 'head 200 of 1', 'id: 3', 'end'])
  })

  it('refuses as not run beyond the slots, and frees the slot of an aborted request', () => {
    const { clock, engine, send } = startEngine()
    const { exchange, seen } = send(buildAttempt('first'))
    const refused = send(buildAttempt('second'))
    clock.advance(5)
    exchange.abort()
    expect([refused.seen, engine.load().running]).toEqual([['sent', 'head 503 not run of 1', 'end'], 0])
    clock.runUntilIdle(10_000)
    expect(seen).toEqual(['sent'])
  })

  it('breaks open exchanges when the engine ends, and sends nothing to it from then on', () => {
    const { clock, clients, send } = startEngine()
    const open = send(buildAttempt('open'))
    const withdrawn = send(buildAttempt('withdrawn'), false)
    clock.advance(5)
    clients.breakDown(INSTANCE.id)
    const late = send(buildAttempt('late'))
    clock.runUntilIdle(10_000)
    expect([open.seen, withdrawn.seen, late.seen]).toEqual([['sent', 'broken'], ['withdrawn'], ['notSent']])
  })
})
