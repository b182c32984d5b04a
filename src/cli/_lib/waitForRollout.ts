/** Waits until every router confirms a generation. */
import { evaluateRollout, type Rollout } from '../../decisions/evaluateRollout/index.js'
import type { NodeStatus, Platform } from '../../types/index.js'
import { queryRouters } from './queryRouters.js'
import type { CommandEnvironment } from './commandEnvironment.js'
import type { RouterFlags } from './platformSession.js'

export type RolloutWaitOptions = {
  readonly generation: number
  readonly waitSeconds: number
  /** Additional condition on the statuses of the routers; none by default. */
  readonly isDone?: (statuses: readonly NodeStatus[], rollout: Rollout) => boolean
}

export type RolloutResult = { readonly rollout: Rollout, readonly statuses: readonly NodeStatus[], readonly isDone: boolean }

const POLL_INTERVAL_MS = 500

export const waitForRollout = async (environment: CommandEnvironment, flags: RouterFlags, platform: Platform, { generation, waitSeconds, isDone = () => true }: RolloutWaitOptions): Promise<RolloutResult> => {
  const endsAt = environment.clock.now() + waitSeconds * 1_000
  while (true) {
    const { answers, statuses, vms } = await queryRouters(environment, flags, platform)
    const rollout = evaluateRollout(generation, answers, vms)
    const result = { rollout, statuses, isDone: rollout.isInForceEverywhere && isDone(statuses, rollout) }
    if (result.isDone || environment.clock.now() >= endsAt) return result
    await new Promise<void>((resolve) => environment.clock.setTimer(POLL_INTERVAL_MS, resolve))
  }
}
