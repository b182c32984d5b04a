import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { planRetry, type FailedAttempt, type RetryLimits, type RetryInput } from './index.js'

const LIMITS: RetryLimits = { maximumAttempts: 3, maximumResumes: 2, baseDelayMs: 100, maximumDelayMs: 1_000 }

const NOT_SENT: FailedAttempt = { stage: 'failed', failedAt: 'notSent', execution: 'notRun' }
const REFUSED: FailedAttempt = { stage: 'failed', failedAt: 'sent', execution: 'notRun' }
const SENT: FailedAttempt = { stage: 'failed', failedAt: 'sent', execution: 'mayHaveRun' }
const ANSWERING: FailedAttempt = { stage: 'failed', failedAt: 'answering', execution: 'mayHaveRun' }

const createInput = (given: Partial<RetryInput>): RetryInput => ({
  attempt: NOT_SENT,
  mayHaveRunBefore: false,
  repeatable: true,
  delivered: false,
  resumable: false,
  attempts: 1,
  resumes: 0,
  remainingMs: 10_000,
  isBudgetAvailable: true,
  random: 0.5,
  ...given
})

const elsewhere = { kind: 'retryElsewhere', delayMs: 50 }
const refuse = (outcome: string, reason: string) => ({ kind: 'refuse', outcome, reason })

describe('planRetry', () => {
  it.each<[string, Partial<RetryInput>, object]>([
    ['not sent, repeatable', {}, elsewhere],
    ['not sent, not repeatable', { repeatable: false }, elsewhere],
    ['refused by the backend server, not repeatable', { attempt: REFUSED, repeatable: false }, elsewhere],
    ['sent, repeatable', { attempt: SENT }, elsewhere],
    ['sent, not repeatable', { attempt: SENT, repeatable: false }, refuse('unknown', 'backendFailed')],
    ['during the response, repeatable, nothing delivered', { attempt: ANSWERING }, elsewhere],
    ['during the response, resumable', { attempt: ANSWERING, resumable: true, delivered: true }, { kind: 'resume', delayMs: 50 }],
    ['during the response, resumable, not repeatable', { attempt: ANSWERING, resumable: true, repeatable: false }, { kind: 'resume', delayMs: 50 }],
    ['during the response, delivered, not resumable', { attempt: ANSWERING, delivered: true }, refuse('unknown', 'answerIncomplete')],
    ['during the response, resumes used up, nothing delivered', { attempt: ANSWERING, resumable: true, resumes: 2 }, elsewhere],
    ['during the response, not repeatable', { attempt: ANSWERING, repeatable: false }, refuse('unknown', 'answerIncomplete')],
    ['no budget', { isBudgetAvailable: false }, refuse('not-run', 'backendFailed')],
    ['no budget, but resumable', { attempt: ANSWERING, resumable: true, isBudgetAvailable: false }, { kind: 'resume', delayMs: 50 }],
    ['attempts used up', { attempts: 3 }, refuse('not-run', 'backendFailed')],
    ['not run now, but maybe by an earlier attempt', { attempts: 3, mayHaveRunBefore: true }, refuse('unknown', 'backendFailed')],
    ['the delay would end after the deadline', { remainingMs: 50 }, refuse('not-run', 'backendFailed')],
    ['the deadline has passed', { remainingMs: 0 }, refuse('not-run', 'deadline')]
  ])('%s', (_name, given, expected) => {
    expect(planRetry(createInput(given), LIMITS)).toEqual(expected)
  })

  const anyInput = fc.record<RetryInput>({
    attempt: fc.constantFrom(NOT_SENT, REFUSED, SENT, ANSWERING),
    mayHaveRunBefore: fc.boolean(),
    repeatable: fc.boolean(),
    delivered: fc.boolean(),
    resumable: fc.boolean(),
    attempts: fc.integer({ min: 1, max: 4 }),
    resumes: fc.integer({ min: 0, max: 3 }),
    remainingMs: fc.integer({ min: -10, max: 5_000 }),
    isBudgetAvailable: fc.boolean(),
    random: fc.double({ min: 0, max: 0.999, noNaN: true })
  })

  it('never retries a request that may have run and is not repeatable, nor one with delivered bytes', () => {
    fc.assert(fc.property(anyInput, (input) => {
      const plan = planRetry(input, LIMITS)
      if (plan.kind !== 'retryElsewhere') return
      expect(input.attempt.execution === 'notRun' || input.repeatable).toBe(true)
      expect(input.delivered).toBe(false)
    }), { seed: 4, numRuns: 5_000 })
  })

  it('reports "not-run" only if no attempt may have run', () => {
    fc.assert(fc.property(anyInput, (input) => {
      const plan = planRetry(input, LIMITS)
      if (plan.kind !== 'refuse' || plan.outcome !== 'not-run') return
      expect(input.mayHaveRunBefore || input.attempt.execution === 'mayHaveRun').toBe(false)
    }), { seed: 5, numRuns: 5_000 })
  })

  it('never plans a wait past the deadline', () => {
    fc.assert(fc.property(anyInput, (input) => {
      const plan = planRetry(input, LIMITS)
      if (plan.kind !== 'refuse') expect(plan.delayMs).toBeLessThan(input.remainingMs)
    }), { seed: 6, numRuns: 5_000 })
  })
})
