/** Services, limits and state that all steps of one request share. */
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
  /** Answers up to this size are buffered and checked before any byte of them is forwarded. */
  readonly answerBufferBytes: number
  /** Milliseconds between two reachability checks of the backend server while an attempt has no answer. */
  readonly reachabilityCheckMs: number
  /** Default Retry-After of a refusal, in milliseconds. */
  readonly defaultRetryAfterMs: number
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

/** Whether a request may be sent again although an earlier attempt may have run. */
export const isIdempotent = ({ routed }: RequestContext): boolean =>
  routed.route.repeatable || routed.route.backendIdempotent
