/** Types of the handler of one forwarded request, and of what the forwarding service passes to it. */
import type { RefusedCallers } from './createRefusedCallers.js'
import type { RetryWindows } from './createRetryWindows.js'
import type { ShutdownGate } from './createShutdownGate.js'
import type { StreamDurations } from './createStreamDurations.js'
import type { FirstByteTimes } from './createFirstByteTimes.js'
import type { TokenPace } from './createTokenPace.js'
import type { ForwardedRequest, GatewayAccount, GatewayRoute, OpenRequest } from '../../../types/index.js'
import type { ForwardingDependencies } from '../index.js'

export type RequestHandlerContext = ForwardingDependencies & {
  readonly nodeId: string
  readonly availabilityZone: string
  readonly regionByZone: ReadonlyMap<string, string>
  readonly readLoadFactor: () => number
  readonly readKeyFreshnessMs: () => number
  readonly retryWindows: RetryWindows
  readonly firstByteTimes: FirstByteTimes
  readonly tokenPace: TokenPace
  readonly streamDurations: StreamDurations
  readonly refusedCallers: RefusedCallers
  /** Whether requests wait in this node while no backend server has room. */
  readonly readControlsAdmission: () => boolean
  readonly shutdownGate: Pick<ShutdownGate, 'passes' | 'describe'>
  readonly onDone: () => void
}

export type RequestHandler = ForwardedRequest & {
  readonly assign: (route: GatewayRoute, account: GatewayAccount | undefined) => void
  /** Checks the deadline and the time without bytes; called periodically, `now` in monotonic milliseconds. */
  readonly check: (now: number) => void
  /** Gives the request its final answer, because the node exits. */
  readonly expire: (keepsBegun: boolean) => void
  readonly describe: () => OpenRequest
}
