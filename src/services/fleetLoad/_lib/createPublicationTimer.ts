/** Publishes the counts of this node again and again, in step with the totals that arrive. */
import { planLoadPublication } from '../../../decisions/planLoadPublication/index.js'
import type { Clock, Timer } from '../../../types/index.js'

export type PublicationTimer = {
  readonly start: () => void
  /** A total has arrived. */
  readonly recordTotal: () => void
  readonly stop: () => void
}

export type PublicationTimerOptions = {
  readonly clock: Clock
  readonly readPeriodMs: () => number
  readonly publish: () => void
}

export const createPublicationTimer = ({ clock, readPeriodMs, publish }: PublicationTimerOptions): PublicationTimer => {
  let publishedAt = clock.now()
  let timer: Timer | undefined

  const schedule = (totalAt?: number): void => {
    timer?.cancel()
    const at = planLoadPublication({ publishedAt, totalAt, periodMs: readPeriodMs() })
    timer = clock.setTimer(Math.max(0, at - clock.now()), publishNow)
  }

  const publishNow = (): void => {
    publishedAt = clock.now()
    schedule()
    publish()
  }

  return {
    start: () => schedule(),
    recordTotal: () => schedule(clock.now()),
    stop: () => timer?.cancel()
  }
}
