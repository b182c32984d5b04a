/**
 * Calls to something that is loaded later. A node that has just been started on
 * a small VM has work that callers wait for; what they don't wait for, such as
 * writing logs and counting, can be loaded and done after it.
 */
import type { Clock, Timer } from '../../types/index.js'

export type DeferredCalls<Target> = {
  /** Runs the call on the target, at once or, in the order of the calls, when it is loaded. */
  readonly run: (call: (target: Target) => void) => void
  /** Loads the target now, unless that was begun, and resolves when the calls held so far have run. */
  readonly open: () => Promise<Target>
}

export type DeferredCallsOptions<Target> = {
  readonly load: () => Promise<Target>
  /** When the target is loaded unless it is opened before, in milliseconds from now. */
  readonly delayMs: number
  readonly clock: Pick<Clock, 'setTimer'>
  /** Told when the target can't be loaded; calls are dropped from then on. */
  readonly onFailure: (error: unknown) => void
}

/**
 * Creates the calls; none is lost unless the process ends before the target is loaded.
 *
 * @param options - How and when to load the target.
 * @returns The calls.
 *
 * @example
 * const calls = createDeferredCalls({ load: async () => console, delayMs: 500, clock, onFailure: console.error })
 * calls.run((target) => target.log('half a second later'))
 */
export const createDeferredCalls = <Target>({ load, delayMs, clock, onFailure }: DeferredCallsOptions<Target>): DeferredCalls<Target> => {
  let held: ((target: Target) => void)[] = []
  let target: Target | undefined
  let isFailed = false
  let opening: Promise<Target> | undefined

  const fail = (error: unknown): never => {
    isFailed = true
    held = []
    onFailure(error)
    throw error
  }

  const loadTarget = async (): Promise<Target> => {
    timer.cancel()
    const loaded = await load().catch(fail)
    target = loaded
    const calls = held
    held = []
    for (const call of calls) call(loaded)
    return loaded
  }

  const open = (): Promise<Target> => {
    opening ??= loadTarget()
    return opening
  }

  // A failure was told to `onFailure`.
  const timer: Timer = clock.setTimer(delayMs, () => { open().catch(() => {}) })

  return {
    run: (call) => {
      if (target !== undefined) return call(target)
      if (!isFailed) held.push(call)
    },
    open
  }
}
