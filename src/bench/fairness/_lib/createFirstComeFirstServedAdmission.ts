/** Baseline for the fairness benchmark: admission from one queue in order of arrival, with the same bound as the real admission. */
import { failure, success } from '../../../kernel/index.js'
import type { AdmissionDemand, AdmissionRefusal, AdmissionTicket, Admission, Clock, Result } from '../../../types/index.js'

type QueuedRequest = { readonly demand: AdmissionDemand, readonly settle: (result: Result<AdmissionTicket, AdmissionRefusal>) => void }

const RETRY_AFTER_MS = 1_000

export const createFirstComeFirstServedAdmission = (clock: Clock, countSlots: () => number, maximumQueued: number, pollIntervalMs: number): Admission => {
  const waiting: QueuedRequest[] = []
  let running = 0

  const admitWaiting = (): void => {
    while (waiting.length > 0 && running < countSlots()) {
      const next = waiting.shift()!
      const isLate = clock.now() >= next.demand.deadlineAt
      next.settle(isLate ? failure({ reason: 'deadline', retryAfterMs: RETRY_AFTER_MS }) : success(createTicket()))
    }
  }

  const createTicket = (): AdmissionTicket => {
    running += 1
    return {
      finish: () => {
        running -= 1
        admitWaiting()
      }
    }
  }

  const poll = (): void => {
    admitWaiting()
    clock.setTimer(pollIntervalMs, poll)
  }
  poll()

  return {
    admit: (demand) => new Promise((resolve) => {
      if (waiting.length >= maximumQueued) return resolve(failure({ reason: 'queueFull', retryAfterMs: RETRY_AFTER_MS }))
      waiting.push({ demand, settle: resolve })
      admitWaiting()
    }),
    usage: () => [],
    mergeUsage: () => {}
  }
}
