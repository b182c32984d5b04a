/** Keeps the last total of each group of backend servers, and reports when none arrives any more. */
import { unpackLoadCounts } from '../../../decisions/packLoadCounts/index.js'
import type { Clock, LoadSnapshot, LoadSource, Logger } from '../../../types/index.js'

/** The fleet's total that a node uses for a group of backend servers. */
export type LoadTotal = Required<Pick<LoadSource, 'sum' | 'ageMs'>> & {
  /** Availability zone of the backend servers; empty when the total covers all zones. */
  readonly group: string
  /** Requests in flight from all nodes, this one included. */
  readonly requests: number
}

export type ReceivedTotal = { readonly at: number, readonly snapshot: LoadSnapshot, readonly requests: number }

export type Totals = {
  readonly record: (snapshot: LoadSnapshot) => ReceivedTotal
  readonly describe: (total: ReceivedTotal) => LoadTotal
  /** The last total of the group; `undefined` when none has arrived or it has expired. */
  readonly find: (group: string) => ReceivedTotal | undefined
  /** The totals that have not expired. */
  readonly list: () => readonly LoadTotal[]
  /** Logs each group once whose total has expired. Without totals, a node takes the requests of others for none. */
  readonly reportLost: () => void
}

export type TotalsOptions = {
  readonly clock: Pick<Clock, 'now'>
  readonly logger: Pick<Logger, 'warn' | 'info'> | undefined
  readonly maximumAgeMs: number
  /** Id of the node from which totals of the group are accepted. */
  readonly findSource: (group: string) => string | undefined
}

export const createTotals = ({ clock, logger, maximumAgeMs, findSource }: TotalsOptions): Totals => {
  const totals = new Map<string, ReceivedTotal>()
  const lostGroups = new Set<string>()

  const describe = ({ at, snapshot, requests }: ReceivedTotal): LoadTotal => ({
    group: snapshot.group,
    sum: `${snapshot.nodeId}/${snapshot.sequence}`,
    ageMs: Math.round(clock.now() - at + (snapshot.ageMs ?? 0)),
    requests
  })

  const isExpired = ({ at }: ReceivedTotal): boolean => clock.now() - at > maximumAgeMs

  return {
    record: (snapshot) => {
      const requests = [...unpackLoadCounts(snapshot).values()].reduce((sum, count) => sum + count, 0)
      const total = { at: clock.now(), snapshot, requests }
      totals.set(snapshot.group, total)
      if (lostGroups.delete(snapshot.group)) logger?.info('load sums back', describe(total))
      return total
    },
    describe,
    find: (group) => {
      const total = totals.get(group)
      return total === undefined || isExpired(total) ? undefined : total
    },
    list: () => [...totals.values()].filter((total) => !isExpired(total)).map(describe),
    reportLost: () => {
      for (const [group, total] of totals) {
        if (!isExpired(total) || lostGroups.has(group)) continue
        lostGroups.add(group)
        logger?.warn('load sums lost', { ...describe(total), expectedFrom: findSource(group) })
      }
    }
  }
}
