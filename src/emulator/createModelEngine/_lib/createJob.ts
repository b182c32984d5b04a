/** One request of the emulated engine: the tokens generated so far, its listeners and its grace period. */
import type { Clock, PromptPart, RequestPriority, Timer } from '../../../types/index.js'
import type { ChatMessage, ComposedAnswer } from '../../composeAnswer/index.js'
import type { JournalRecord } from '../../createJournal/index.js'

export type EngineRequest = {
  readonly requestId: string
  readonly idempotencyKey?: string | undefined
  readonly clientAccount: string
  readonly path: string
  readonly messages: readonly ChatMessage[]
  readonly maximumTokens?: number | undefined
  readonly priority: RequestPriority
  /** From 0, the most urgent, to 9; by default it follows from `priority`. */
  readonly urgency?: number
  /** Sizes that stand for the text of `messages` and of the answer, for benchmarks with long prompts. */
  readonly sizes?: RequestSizes
}

export type RequestSizes = {
  /** Parts of the prompt in order; equal ids stand for equal prefixes. */
  readonly promptParts: readonly PromptPart[]
  readonly answerTokens: number
}

export type JobUsage = { readonly promptTokens: number, readonly cachedTokens: number }

export type JobOutcome = 'complete' | 'cancelled'

/** Called after each generated token, and once when the job has ended. */
export type JobListener = () => void

export type EngineJob = {
  readonly request: EngineRequest
  readonly answer: ComposedAnswer
  /** Tokens generated so far. */
  readonly emitted: () => number
  readonly outcome: () => JobOutcome | undefined
  /** Zero until the prefill has begun. */
  readonly usage: () => JobUsage
  /** Adds a listener and returns a function that removes it; a job that has lost its last listener is cancelled after its grace period. */
  readonly listen: (listener: JobListener) => () => void
  readonly cancel: () => void
}

export type RunningJob = EngineJob & {
  readonly start: (usage: JobUsage) => void
  readonly emitToken: () => void
  readonly isComplete: () => boolean
  readonly finish: (outcome: JobOutcome) => void
}

export type JobDependencies = {
  readonly answer: ComposedAnswer
  readonly record: JournalRecord
  readonly graceMs: number
  readonly cancel: () => void
  /** Removes the job from the engine; it cannot be resumed any more. */
  readonly remove: () => void
}

/**
 * Creates a job that waits for a slot.
 *
 * @param clock - Times the grace period.
 * @param request - The request.
 * @param dependencies - The answer to generate, the journal record, and the engine's callbacks.
 * @returns The job.
 *
 * @example
 * const job = createJob(clock, request, dependencies)
 */
export const createJob = (clock: Clock, request: EngineRequest, dependencies: JobDependencies): RunningJob => {
  const { answer, record, graceMs, cancel, remove } = dependencies
  const listeners = new Set<JobListener>()
  let emitted = 0
  let outcome: JobOutcome | undefined
  let usage: JobUsage = { promptTokens: 0, cachedTokens: 0 }
  let graceTimer: Timer | undefined

  const notifyListeners = (): void => {
    for (const listener of [...listeners]) listener()
  }

  const expireGracePeriod = (): void => {
    cancel()
    remove()
  }

  const startGracePeriod = (): void => {
    graceTimer?.cancel()
    graceTimer = clock.setTimer(graceMs, expireGracePeriod)
  }

  return {
    request,
    answer,
    emitted: () => emitted,
    outcome: () => outcome,
    usage: () => usage,
    listen: (listener) => {
      listeners.add(listener)
      graceTimer?.cancel()
      return () => {
        if (listeners.delete(listener) && listeners.size === 0) startGracePeriod()
      }
    },
    cancel,
    start: (prefillUsage) => {
      usage = prefillUsage
      record.setOutcome('running')
    },
    emitToken: () => {
      emitted += 1
      notifyListeners()
    },
    isComplete: () => emitted >= answer.tokens.length,
    finish: (finalOutcome) => {
      outcome = finalOutcome
      record.setOutcome(finalOutcome)
      notifyListeners()
      if (listeners.size === 0) startGracePeriod()
    }
  }
}
