/**
 * Buffers calls to a target that is loaded later. On a small VM, a node that has
 * just started should first do the work that callers wait for. Other work, such as
 * writing logs and updating metrics, can be loaded and done afterwards.
 */
import type { Clock, Timer } from '../../types/index.js'

export type DeferredCalls<Target> = {
  /** Runs the call on the target: at once if it is loaded, else after loading, in the order of the calls. */
  readonly run: (call: (target: Target) => void) => void
  /** Starts loading the target unless that has begun, and resolves when the buffered calls have run. */
  readonly open: () => Promise<Target>
}

export type DeferredCallsOptions<Target> = {
  readonly load: () => Promise<Target>
  /** Delay in milliseconds after which the target is loaded, unless `open` is called before. */
  readonly delayMs: number
  readonly clock: Pick<Clock, 'setTimer'>
  /** Called when the target cannot be loaded; all calls are dropped from then on. */
  readonly onFailure: (error: unknown) => void
}

/**
 * Creates deferred calls. No call is lost unless loading fails or the process ends before the target is loaded.
 *
 * @param options - How and when to load the target.
 * @returns The deferred calls.
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

  // `onFailure` has already received the error.
  const timer: Timer = clock.setTimer(delayMs, () => { open().catch(() => {}) })

  return {
    run: (call) => {
      if (target !== undefined) return call(target)
      if (!isFailed) held.push(call)
    },
    open
  }
}
