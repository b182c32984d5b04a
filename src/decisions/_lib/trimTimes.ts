/** Drops the times before the start of a window. The times are in ascending order. */
export const trimTimes = (times: readonly number[], from: number): readonly number[] => {
  const first = times.findIndex((time) => time >= from)
  if (first === 0) return times
  return first < 0 ? [] : times.slice(first)
}
