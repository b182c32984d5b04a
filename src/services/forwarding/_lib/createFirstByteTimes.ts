/** Tracks the average time to first byte of each route, against which a backend server counts as slow. */

export type FirstByteTimes = {
  /** Records a time in milliseconds and returns it as a multiple of the route's average. */
  readonly recordAndCompare: (route: string, milliseconds: number) => number
  /** Average of the route in milliseconds; `undefined` before the first request. */
  readonly readAverage: (route: string) => number | undefined
}

/** Weight of the newest time: the average spans about thirty requests. */
const SMOOTHING_FACTOR = 0.03
/** Below this, differences are network jitter; in milliseconds. */
const FLOOR_MS = 20

/** Creates an empty record. */
export const createFirstByteTimes = (): FirstByteTimes => {
  const averages = new Map<string, number>()
  return {
    recordAndCompare: (route, milliseconds) => {
      const average = averages.get(route) ?? milliseconds
      averages.set(route, average + SMOOTHING_FACTOR * (milliseconds - average))
      return (milliseconds + FLOOR_MS) / (average + FLOOR_MS)
    },
    readAverage: (route) => averages.get(route)
  }
}
