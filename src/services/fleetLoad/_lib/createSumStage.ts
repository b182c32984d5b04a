/**
 * One stage of the aggregation: collects snapshots by group of backend servers and publishes
 * their sum as soon as all sources have reported, or after a while without those that have not.
 */
import { createSnapshotStore } from './createSnapshotStore.js'
import type { SnapshotStore, SnapshotSum } from './createSnapshotStore.js'
import { planLoadSum } from '../../../decisions/planLoadSum/index.js'
import type { Clock, LoadSnapshot, Timer } from '../../../types/index.js'

export type SumStage = {
  readonly receive: (snapshot: LoadSnapshot) => void
  readonly stop: () => void
}

export type SumStageOptions = {
  readonly clock: Clock
  readonly maximumAgeMs: number
  readonly readPeriodMs: () => number
  /** Number of sources that report in each period. */
  readonly countSources: (group: string) => number
  /** The source by which the sums of all nodes go; omitted where one node alone sums. */
  readonly findPacemaker?: () => string | undefined
  /** Whether this node sums the group. */
  readonly isResponsible: (group: string) => boolean
  readonly publish: (group: string, sum: SnapshotSum) => void
}

type GroupState = { readonly store: SnapshotStore, readonly reported: Set<string>, summedAt: number, pacedAt: number, timer: Timer | undefined }

export const createSumStage = (options: SumStageOptions): SumStage => {
  const { clock, readPeriodMs, countSources, findPacemaker, isResponsible, publish } = options
  const states = new Map<string, GroupState>()

  const getState = (group: string): GroupState => {
    const known = states.get(group)
    if (known !== undefined) return known
    const created: GroupState = { store: createSnapshotStore(options.maximumAgeMs), reported: new Set(), summedAt: -Infinity, pacedAt: -Infinity, timer: undefined }
    states.set(group, created)
    return created
  }

  const publishSum = (group: string, state: GroupState): void => {
    state.timer?.cancel()
    state.timer = undefined
    state.reported.clear()
    if (!isResponsible(group)) return
    state.summedAt = clock.now()
    publish(group, state.store.sum(clock.now()))
  }

  return {
    receive: (snapshot) => {
      const { group } = snapshot
      const state = getState(group)
      if (!state.store.put(snapshot, clock.now())) return
      const isPacemaker = snapshot.source === findPacemaker?.()
      if (isPacemaker) state.pacedAt = clock.now()
      const plan = planLoadSum({ arrivedAt: clock.now(), summedAt: state.summedAt, pacedAt: state.pacedAt, periodMs: readPeriodMs() })
      if (plan.kind === 'late') return
      state.reported.add(snapshot.source)
      if (state.reported.size >= countSources(group)) return publishSum(group, state)
      if (isPacemaker) state.timer?.cancel()
      else if (state.timer !== undefined) return
      state.timer = clock.setTimer(plan.deadline - clock.now(), () => publishSum(group, state))
    },
    stop: () => { for (const { timer } of states.values()) timer?.cancel() }
  }
}
