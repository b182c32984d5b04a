/**
 * Takes what backend servers state about themselves in their answers to this node: until
 * when each of them accepts no requests from it, which the service keeps, that it is
 * leaving, which the list of backend servers keeps, and how many refusals it bears.
 */
import type { RunningService } from '../../kernel/index.js'
import type { RefusalLimiter } from '../refusalLimiter/index.js'
import type { BackendInstance, Clock, InstanceNotice, InstanceRegistry, Logger, Metrics } from '../../types/index.js'

export type InstanceNotices = {
  /** Records the notice in an answer that the server gave to any request or query of this node. */
  readonly record: (instance: BackendInstance, notice: InstanceNotice) => void
  /** Milliseconds during which the server still accepts no requests from this node; 0 when it accepts them. */
  readonly backoffRemainingMs: (instance: Pick<BackendInstance, 'id'>) => number
}

export type InstanceNoticesDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly logger: Pick<Logger, 'info'>
  readonly metrics: Pick<Metrics, 'count'>
  readonly registry: Pick<InstanceRegistry, 'markLeaving'>
  readonly refusals: Pick<RefusalLimiter, 'recordLimit'>
}

/**
 * Creates the service.
 *
 * A backoff is kept by the server's id and does not depend on the list of backend servers: an
 * answer does not tell which run of the server gave it, and the list may lag behind.
 *
 * @param dependencies - Clock, log, metrics and the list of backend servers.
 * @returns The service for the kernel.
 *
 * @example
 * createInstanceNotices({ clock, logger, metrics, registry, refusals }).api.backoffRemainingMs(instance) // => 0
 */
export const createInstanceNotices = ({ clock, logger, metrics, registry, refusals }: InstanceNoticesDependencies): RunningService<InstanceNotices> => {
  const backoffEnds = new Map<string, number>()

  const backoffRemainingMs: InstanceNotices['backoffRemainingMs'] = ({ id }) => Math.max(0, (backoffEnds.get(id) ?? -Infinity) - clock.now())

  const removeEnded = (): void => {
    for (const [id, endsAt] of backoffEnds) if (endsAt <= clock.now()) backoffEnds.delete(id)
  }

  const recordBackoff = ({ id, service }: BackendInstance, backoffMs: number): void => {
    metrics.count('gateway_backoffs')
    const remainingMs = backoffRemainingMs({ id })
    if (backoffMs <= remainingMs) return
    removeEnded()
    backoffEnds.set(id, clock.now() + backoffMs)
    if (remainingMs === 0) logger.info('backend server backoff begun', { backendServer: id, service, backoffMs })
  }

  return {
    api: {
      record: (instance, { backoffMs, isLeaving, refusalLimit }) => {
        refusals.recordLimit(instance, refusalLimit)
        if (backoffMs !== undefined) recordBackoff(instance, backoffMs)
        if (isLeaving) registry.markLeaving(instance)
      },
      backoffRemainingMs
    }
  }
}
