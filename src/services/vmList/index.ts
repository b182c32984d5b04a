/**
 * Reads the platform's list of VMs on a timer and shares it between services. The
 * list lags, and the last good one is kept while the platform is down. It is
 * therefore a hint at which VMs may exist, and never proof that one is gone.
 */
import type { RunningService } from '../../kernel/index.js'
import type { Clock, Platform, RandomSource, Timer, Vm } from '../../types/index.js'

export type VmList = {
  /** The last list that was read; `undefined` before the first. */
  readonly current: () => readonly Vm[] | undefined
  readonly onRead: (listener: (vms: readonly Vm[]) => void) => void
}

export type VmListDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly platform: Pick<Platform, 'listVms'>
}

export type VmListOptions = {
  readonly intervalMs: number
  /** Whether this node reads at each interval; the others get changes from their peers. */
  readonly isReader?: () => boolean
}

/** Relative jitter of the interval; without it, routers that start together would read the list at the same time. */
const JITTER = 0.25

/** Number of intervals after which a node that relies on readers reads the list itself, in case they do not. */
const MAXIMUM_SKIPPED_INTERVALS = 12

/**
 * Creates the reader of the VM list.
 *
 * @param dependencies - Clock, random source and platform.
 * @param options - Milliseconds between two reads, and whether this node is a reader; it is by default.
 * @returns A service that reads at its start and then on the timer, one read at a time.
 *
 * @example
 * const vmList = createVmList({ clock, random, platform }, { intervalMs: 5000 })
 */
export const createVmList = ({ clock, random, platform }: VmListDependencies, { intervalMs, isReader = () => true }: VmListOptions): RunningService<VmList> => {
  const listeners: ((vms: readonly Vm[]) => void)[] = []
  let current: readonly Vm[] | undefined
  let timer: Timer | undefined
  let isStopped = false

  let intervalsSkipped = 0

  const schedule = (): void => {
    timer = clock.setTimer(intervalMs * (1 + JITTER * (random.next() - 0.5)), () => { tick() })
  }

  const read = async (): Promise<void> => {
    intervalsSkipped = 0
    const result = await platform.listVms()
    if (isStopped || !result.ok) return
    current = result.value
    for (const listen of listeners) listen(result.value)
  }

  const tick = async (): Promise<void> => {
    intervalsSkipped += 1
    if (isReader() || intervalsSkipped >= MAXIMUM_SKIPPED_INTERVALS) await read()
    if (!isStopped) schedule()
  }

  return {
    api: { current: () => current, onRead: (listener) => { listeners.push(listener) } },
    start: () => { read().then(() => { if (!isStopped) schedule() }) },
    stop: () => {
      isStopped = true
      timer?.cancel()
    }
  }
}
