/** Types of the register of routes, which lasts beyond the processes of the fleet. */
import type { SourceError } from './gatewayState.js'
import type { Result } from './result.js'
import type { ConditionalWrite } from './versionRegister.js'

/** A service to which a route leads streams that can be taken up. */
export type RouteTarget = { readonly route: string, readonly service: string }

export type RegisteredTarget = RouteTarget & {
  /** Empty while the route leads there; identifies the change by which it ended otherwise. */
  readonly endMark: string
}

export type StoredTargets = { readonly revision: number, readonly targets: readonly RegisteredTarget[] }

/** The platform's store of route targets. Its reads reflect every write that was acknowledged before them. */
export type RouteTargetStore = {
  /** `undefined` when none are stored. */
  readonly read: () => Promise<Result<StoredTargets | undefined, SourceError>>
  /** Replaces them all if they still have this revision, or stores the first ones. */
  readonly write: (targets: readonly RegisteredTarget[], revision: number | undefined) => Promise<Result<ConditionalWrite, SourceError>>
}
