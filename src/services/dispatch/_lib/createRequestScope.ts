/**
 * Lifetime of one request: it ends at the deadline or when the caller
 * disconnects. Every wait on behalf of the request is bounded by this scope.
 */
import type { Clock } from '../../../types/index.js'

export type ScopeEndCause = 'deadline' | 'hungUp'

export type RequestScope = {
  /** Aborts at the deadline or when the caller disconnects. */
  readonly signal: AbortSignal
  /** Why the signal was aborted; `undefined` before. */
  readonly endCause: () => ScopeEndCause | undefined
  readonly remainingMs: () => number
  readonly elapsedMs: () => number
  readonly deadlineAt: number
  /** Detaches the scope from the caller: a later disconnect does not end the request. */
  readonly detachFromCaller: () => void
  /** Resolves with `undefined` when the scope ends first. */
  readonly race: <Value>(promise: Promise<Value>) => Promise<Value | undefined>
  /** Resolves false when the scope ends first. */
  readonly wait: (delayMs: number) => Promise<boolean>
  readonly close: () => void
}

export const createRequestScope = (clock: Clock, deadlineMs: number, callerSignal: AbortSignal): RequestScope => {
  const controller = new AbortController()
  const startedAt = clock.now()
  const deadlineAt = startedAt + deadlineMs
  let endCause: ScopeEndCause | undefined

  const end = (cause: ScopeEndCause): void => {
    if (endCause !== undefined) return
    endCause = cause
    controller.abort(new Error(cause))
  }

  const onDisconnect = (): void => end('hungUp')
  const timer = clock.setTimer(deadlineMs, () => end('deadline'))
  if (deadlineMs <= 0) end('deadline')
  if (callerSignal.aborted) end('hungUp')
  callerSignal.addEventListener('abort', onDisconnect, { once: true })

  const race = <Value>(promise: Promise<Value>): Promise<Value | undefined> => {
    if (controller.signal.aborted) {
      promise.catch(() => undefined)
      return Promise.resolve(undefined)
    }
    return new Promise((resolve, reject) => {
      const onAbort = (): void => resolve(undefined)
      controller.signal.addEventListener('abort', onAbort, { once: true })
      promise.then(resolve, reject).finally(() => controller.signal.removeEventListener('abort', onAbort))
    })
  }

  return {
    signal: controller.signal,
    endCause: () => endCause,
    remainingMs: () => deadlineAt - clock.now(),
    elapsedMs: () => clock.now() - startedAt,
    deadlineAt,
    detachFromCaller: () => callerSignal.removeEventListener('abort', onDisconnect),
    race,
    wait: async (delayMs) => {
      let resolveDelay = (): void => {}
      const elapsed = new Promise<true>((resolve) => { resolveDelay = () => resolve(true) })
      const delay = clock.setTimer(delayMs, resolveDelay)
      const isElapsed = await race(elapsed)
      delay.cancel()
      return isElapsed ?? false
    },
    close: () => {
      timer.cancel()
      callerSignal.removeEventListener('abort', onDisconnect)
    }
  }
}
