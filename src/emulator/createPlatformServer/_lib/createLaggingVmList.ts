/** Emulates a VM list that lags: it can be read as it was some time ago. */
import type { Clock, Vm } from '../../../types/index.js'

export type LaggingVmList = {
  readonly set: (vms: readonly Vm[]) => void
  /** The list as it was `lagMs` milliseconds ago. */
  readonly read: (lagMs: number) => readonly Vm[]
}

type TimestampedList = { readonly since: number, readonly vms: readonly Vm[] }

const MAXIMUM_LISTS = 1000

/**
 * Creates a VM list that records its earlier states.
 *
 * @param clock - Timestamps the lists.
 * @param initial - The list at the start, also returned for any earlier time.
 * @returns The list.
 *
 * @example
 * createLaggingVmList(clock, []).read(1000) // => []
 */
export const createLaggingVmList = (clock: Clock, initial: readonly Vm[]): LaggingVmList => {
  const lists: TimestampedList[] = [{ since: -Infinity, vms: initial }]
  return {
    set: (vms) => {
      lists.push({ since: clock.now(), vms })
      if (lists.length > MAXIMUM_LISTS) lists.shift()
    },
    read: (lagMs) => {
      const shownAt = clock.now() - lagMs
      return (lists.findLast(({ since }) => since <= shownAt) ?? lists[0]!).vms
    }
  }
}
