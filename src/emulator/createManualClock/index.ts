/** A clock that advances only on request, for benchmarks and tests in one process. */
import type { Clock } from '../../types/index.js'

export type ManualClock = Clock & {
  /** Advances the time and runs the timers that become due, in order. */
  readonly advance: (durationMs: number) => void
  /** Like `advance`, but lets promises settle after each timer, for code that awaits between timers. */
  readonly advanceAndSettle: (durationMs: number) => Promise<void>
  /** Runs timers until none is left or `limitMs` has passed; returns the time that passed. */
  readonly runUntilIdle: (limitMs: number) => number
}

const DEFAULT_WALL_TIME_MS = 1_700_000_000_000
/** Rounds of the microtask queue after each timer; a longer promise chain continues after the next timer. */
const MICROTASK_ROUNDS = 8

const settlePromises = async (): Promise<void> => {
  for (let round = 0; round < MICROTASK_ROUNDS; round++) await Promise.resolve()
}

/** `callback` is undefined once the timer has run or is cancelled. */
type PendingTimer = { readonly dueAt: number, readonly order: number, callback: (() => void) | undefined }

/**
 * Creates a clock whose time changes only when it is advanced.
 *
 * Timers due at the same time run in the order in which they were set, so a run
 * with a seeded random source is reproducible.
 *
 * @param startAt - Wall-clock time at the start, in milliseconds since 1970.
 * @returns The clock.
 *
 * @example
 * const clock = createManualClock()
 * clock.setTimer(10, () => console.log('due'))
 * clock.advance(10) // prints "due"
 */
export const createManualClock = (startAt = DEFAULT_WALL_TIME_MS): ManualClock => {
  const heap: PendingTimer[] = []
  let now = 0
  let order = 0

  const runNext = (limit: number): boolean => {
    if (heap[0] === undefined || heap[0].dueAt > limit) return false
    const timer = popEarliest(heap)
    if (timer.callback === undefined) return true
    now = Math.max(now, timer.dueAt)
    timer.callback()
    timer.callback = undefined
    return true
  }

  const runAllDue = (limit: number): void => {
    while (runNext(limit));
  }

  return {
    now: () => now,
    wallTime: () => startAt + now,
    setTimer: (delayMs, callback) => {
      const timer: PendingTimer = { dueAt: now + Math.max(0, delayMs), order: order++, callback }
      pushTimer(heap, timer)
      return { cancel: () => { timer.callback = undefined } }
    },
    advance: (durationMs) => {
      const target = now + durationMs
      runAllDue(target)
      now = target
    },
    advanceAndSettle: async (durationMs) => {
      const target = now + durationMs
      await settlePromises()
      while (runNext(target)) await settlePromises()
      now = target
    },
    runUntilIdle: (limitMs) => {
      const startedAt = now
      runAllDue(startedAt + limitMs)
      return now - startedAt
    }
  }
}

const isEarlier = (left: PendingTimer, right: PendingTimer): boolean =>
  left.dueAt < right.dueAt || (left.dueAt === right.dueAt && left.order < right.order)

const swap = (heap: PendingTimer[], left: number, right: number): void => {
  const previous = heap[left]!
  heap[left] = heap[right]!
  heap[right] = previous
}

const pushTimer = (heap: PendingTimer[], timer: PendingTimer): void => {
  heap.push(timer)
  let index = heap.length - 1
  while (index > 0) {
    const parent = (index - 1) >> 1
    if (!isEarlier(heap[index]!, heap[parent]!)) return
    swap(heap, index, parent)
    index = parent
  }
}

const popEarliest = (heap: PendingTimer[]): PendingTimer => {
  const earliest = heap[0]!
  const last = heap.pop()!
  if (heap.length === 0) return earliest
  heap[0] = last
  let index = 0
  while (true) {
    const left = 2 * index + 1
    const right = left + 1
    let smallest = index
    if (left < heap.length && isEarlier(heap[left]!, heap[smallest]!)) smallest = left
    if (right < heap.length && isEarlier(heap[right]!, heap[smallest]!)) smallest = right
    if (smallest === index) return earliest
    swap(heap, index, smallest)
    index = smallest
  }
}
