/** How long requests of a route usually take to their first bytes, against which a backend server's time is slow or not. */

export type TimeToFirstBytes = {
  /** Notes a time and returns it as a multiple of the usual one. */
  readonly compare: (route: string, milliseconds: number) => number
  readonly usual: (route: string) => number | undefined
}

/** Weight of the newest time: some thirty requests make the average. */
const NEWEST_WEIGHT = 0.03
/** Times below this differ by the network's jitter alone, in milliseconds. */
const FLOOR_MS = 20

/** Creates the record, empty. */
export const createTimeToFirstBytes = (): TimeToFirstBytes => {
  const averages = new Map<string, number>()
  return {
    compare: (route, milliseconds) => {
      const average = averages.get(route) ?? milliseconds
      averages.set(route, average + NEWEST_WEIGHT * (milliseconds - average))
      return (milliseconds + FLOOR_MS) / (average + FLOOR_MS)
    },
    usual: (route) => averages.get(route)
  }
}
