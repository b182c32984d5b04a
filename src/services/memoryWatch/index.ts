/**
 * Logs what fills the memory of the process when it nears its limits, so that an end for memory
 * can be told from others afterwards. It looks once a second.
 */
import { findScarceMemory } from '../../decisions/findScarceMemory/index.js'
import type { MemoryUse } from '../../decisions/findScarceMemory/index.js'
import type { Clock, LogFields, Logger, Timer } from '../../types/index.js'

export type MemoryWatchDependencies = {
  readonly clock: Pick<Clock, 'now' | 'setTimer'>
  readonly logger: Pick<Logger, 'warn'>
  readonly readUse: () => MemoryUse
  /** What the memory is used for: bytes by kind, open requests. */
  readonly describeContents: () => LogFields
}

export type MemoryWatch = { readonly stop: () => void }

const CHECK_MS = 1_000
/** While memory stays scarce, the line is repeated this often. */
const REPEAT_MS = 5_000

/**
 * Starts the watch.
 *
 * @param dependencies - Clock, log, and readers of the memory and its contents.
 * @returns A function that ends it.
 *
 * @example
 * startMemoryWatch(dependencies).stop()
 */
export const startMemoryWatch = ({ clock, logger, readUse, describeContents }: MemoryWatchDependencies): MemoryWatch => {
  let loggedAt = -Infinity
  let timer: Timer

  const check = (): void => {
    timer = clock.setTimer(CHECK_MS, check)
    const use = readUse()
    const memory = findScarceMemory(use)
    if (memory === undefined || clock.now() - loggedAt < REPEAT_MS) return
    loggedAt = clock.now()
    logger.warn('memory nearly full', { memory, ...use, ...describeContents() })
  }

  timer = clock.setTimer(CHECK_MS, check)
  return { stop: () => timer.cancel() }
}
