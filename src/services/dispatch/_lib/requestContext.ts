/** What every step of one request's way needs. */
import type { MessageAuthenticator } from '../../../decisions/signChatHint/index.js'
import type { RetryLimits } from '../../../decisions/planRetry/index.js'
import type {
  Admission, BackendClient, BackendHealth, BackendPlacement, ChatDirectory, Claims, Clock, ConfigurationHolder,
  LoadView, Logger, Metrics, RandomSource
} from '../../../types/index.js'
import type { ReachabilityProbes } from './createReachabilityProbes.js'
import type { Reply } from './createReply.js'
import type { RequestScope } from './createRequestScope.js'
import type { RetryAllowance } from './createRetryAllowance.js'
import type { RoutedRequest } from './readRoutedRequest.js'

export type DispatchDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly metrics: Metrics
  readonly backendClient: BackendClient
  readonly configuration: ConfigurationHolder
  readonly admission: Admission
  readonly claims: Claims
  readonly placement: BackendPlacement
  readonly loadView: LoadView
  readonly backendHealth: BackendHealth
  readonly chatDirectory: ChatDirectory
}

export type DispatchLimits = RetryLimits & {
  /** Whole answers up to this size are checked before any byte of them is passed on. */
  readonly answerBufferBytes: number
  /** How often an attempt without an answer asks whether its backend server can still be reached. */
  readonly reachabilityCheckMs: number
  /** What a refusal says when nothing better is known, in milliseconds. */
  readonly comeBackAfterMs: number
}

export type RequestContext = {
  readonly dependencies: DispatchDependencies
  readonly limits: DispatchLimits
  readonly hintAuthenticator: MessageAuthenticator
  readonly retryAllowance: RetryAllowance
  readonly reachabilityProbes: ReachabilityProbes
  readonly routed: RoutedRequest
  readonly scope: RequestScope
  readonly reply: Reply
}

/** Whether a request that may have run may be run again. */
export const mayRepeat = ({ routed }: RequestContext): boolean =>
  routed.route.repeatable || routed.route.backendIdempotent
