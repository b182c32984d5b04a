/** Types of the handler of one forwarded request, and of what the forwarding service passes to it. */
import type { RepeatBudgets } from './createRepeatBudgets.js'
import type { StopGate } from './createStopGate.js'
import type { StreamDurations } from './createStreamDurations.js'
import type { TimeToFirstBytes } from './createTimeToFirstBytes.js'
import type { TokenPace } from './createTokenPace.js'
import type { ForwardingRun, GatewayAccount, GatewayRoute } from '../../../types/index.js'
import type { ForwardingDependencies } from '../index.js'

export type RunContext = ForwardingDependencies & {
  readonly availabilityZone: string
  readonly regionByZone: ReadonlyMap<string, string>
  readonly readLoadFactor: () => number
  readonly readKeyFreshnessMs: () => number
  readonly budgets: RepeatBudgets
  readonly usualTimes: TimeToFirstBytes
  readonly tokenPace: TokenPace
  readonly streamDurations: StreamDurations
  readonly stopGate: Pick<StopGate, 'passes'>
  readonly onDone: () => void
}

export type Run = ForwardingRun & {
  readonly assign: (route: GatewayRoute, account: GatewayAccount | undefined) => void
  /** Checks the deadline and the time without bytes; called periodically, `now` in monotonic milliseconds. */
  readonly check: (now: number) => void
}
