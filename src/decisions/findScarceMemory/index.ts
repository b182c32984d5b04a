/**
 * Finds the memory that a process is about to run out of. Neither the end of the heap nor the
 * platform's kill leaves a line, so that what fills it has to be logged before.
 */

export type MemoryUse = {
  readonly heapBytes: number
  readonly heapLimitBytes: number
  readonly residentBytes: number
  /** Above it the platform ends the process; `undefined` where it is unknown. */
  readonly residentLimitBytes: number | undefined
}

export type ScarceMemory = 'heap' | 'resident'

/** From this share on memory is nearly full: well above what load alone fills it to, with room for some seconds of growth. */
const SCARCE_SHARE = 0.8

/**
 * Finds it.
 *
 * @param use - What is used, and the limits.
 * @returns The memory that is nearest to its limit, or `undefined` while none is near.
 *
 * @example
 * findScarceMemory({ heapBytes: 150, heapLimitBytes: 160, residentBytes: 200, residentLimitBytes: 350 }) // => 'heap'
 */
export const findScarceMemory = ({ heapBytes, heapLimitBytes, residentBytes, residentLimitBytes = Infinity }: MemoryUse): ScarceMemory | undefined => {
  const heapShare = heapBytes / heapLimitBytes
  const residentShare = residentBytes / residentLimitBytes
  if (Math.max(heapShare, residentShare) < SCARCE_SHARE) return undefined
  return heapShare >= residentShare ? 'heap' : 'resident'
}
