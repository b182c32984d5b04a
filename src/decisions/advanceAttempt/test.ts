import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { advanceAttempt, type AttemptEvent, type AttemptState } from './index.js'

const EVENTS: readonly AttemptEvent[] = ['notSent', 'written', 'refusedByBackend', 'crossedAnswer', 'answerStarted', 'answerEnded', 'cut', 'cancelled']

const fold = (events: readonly AttemptEvent[]): AttemptState => events.reduce<AttemptState>(advanceAttempt, { stage: 'notSent' })

const anyEvents = fc.array(fc.constantFrom(...EVENTS), { maxLength: 8 })

describe('advanceAttempt', () => {
  it.each<[string, readonly AttemptEvent[], AttemptState]>([
    ['refused connection', ['notSent'], { stage: 'failed', failedAt: 'notSent', execution: 'notRun' }],
    ['abandoned before it was written', ['cancelled'], { stage: 'failed', failedAt: 'notSent', execution: 'notRun' }],
    ['documented refusal', ['written', 'refusedByBackend'], { stage: 'failed', failedAt: 'sent', execution: 'notRun' }],
    ['connection cut before an answer', ['written', 'cut'], { stage: 'failed', failedAt: 'sent', execution: 'mayHaveRun' }],
    ['answer to another request', ['written', 'crossedAnswer'], { stage: 'failed', failedAt: 'sent', execution: 'mayHaveRun' }],
    ['connection cut during the answer', ['written', 'answerStarted', 'cut'], { stage: 'failed', failedAt: 'answering', execution: 'mayHaveRun' }],
    ['complete answer', ['written', 'answerStarted', 'answerEnded'], { stage: 'complete' }],
    ['answer after the failure', ['written', 'cut', 'answerStarted', 'answerEnded'], { stage: 'failed', failedAt: 'sent', execution: 'mayHaveRun' }],
    ['connection error after it was written', ['written', 'notSent'], { stage: 'sent' }],
    ['answer end without a start', ['written', 'answerEnded'], { stage: 'sent' }]
  ])('reaches the expected state after: %s', (_name, events, expected) => {
    expect(fold(events)).toEqual(expected)
  })

  it('reports notRun only before the request was written or after the documented refusal', () => {
    fc.assert(fc.property(anyEvents, (events) => {
      const state = fold(events)
      if (state.stage !== 'failed' || state.execution !== 'notRun') return
      const wasWritten = events.includes('written') && events.indexOf('written') < events.findIndex((event) => event === 'notSent' || event === 'cancelled')
      const wasRefused = state.failedAt === 'sent' && events.includes('refusedByBackend')
      expect(wasRefused || !wasWritten).toBe(true)
    }), { seed: 2, numRuns: 2_000 })
  })

  it('never leaves a final state', () => {
    fc.assert(fc.property(anyEvents, fc.constantFrom(...EVENTS), (events, event) => {
      const state = fold(events)
      if (state.stage === 'failed' || state.stage === 'complete') expect(advanceAttempt(state, event)).toEqual(state)
    }), { seed: 3, numRuns: 2_000 })
  })
})
