/**
 * The services of one router node, by the name under which the kernel has
 * them. A service sees the others only through these types.
 */
import type { Configuration, BackendServer, PlannedStop, Sheet } from './configuration.js'
import type { LeavingMark, Member, AccountUsage, ClaimKey } from './peer.js'
import type { CallerAnswer, CallerRequest, LoadReport, RefusalReason } from './request.js'
import type { Result } from './result.js'

export type Membership = {
  readonly self: () => Member
  /** Every member known, dead ones included until they are forgotten. */
  readonly members: () => readonly Member[]
  /** The members that get work: live and not leaving, this node included. */
  readonly liveMembers: () => readonly Member[]
  /** Tells peers that this node leaves; it goes on serving. */
  readonly announceLeaving: () => void
  readonly onChange: (listener: () => void) => void
}

/** Where a backend server stands, for placement. */
export type BackendServerState = 'live' | 'slowStart' | 'ejected' | 'leaving' | 'unreachable'

export type BackendServerStatus = {
  readonly backendServer: string
  readonly state: BackendServerState
  /** Share of its slots that placement may count on: below 1 during slow start. */
  readonly weightShare: number
  /** Estimated requests in flight from the whole fleet. */
  readonly inFlight: number
  /** Requests in flight from this node. */
  readonly ownInFlight: number
}

export type LoadView = {
  readonly recordStart: (backendServer: string) => void
  readonly recordEnd: (backendServer: string) => void
  /** Estimated requests in flight on a backend server, from all routers. */
  readonly estimateInFlight: (backendServer: string) => number
  readonly ownInFlight: (backendServer: string) => number
  readonly applyReport: (backendServer: string, report: LoadReport) => void
}

export type AttemptOutcome = 'complete' | 'notSent' | 'refused' | 'failed'

/** Which backend servers may get new work, from reports, failures, stops and marks. */
export type BackendHealth = {
  readonly status: (backendServer: string) => BackendServerStatus
  readonly statuses: () => readonly BackendServerStatus[]
  readonly recordAttempt: (backendServer: string, outcome: AttemptOutcome) => void
  readonly markLeaving: (backendServer: string) => void
  readonly leavingMarks: () => readonly LeavingMark[]
  readonly mergeLeavingMarks: (marks: readonly LeavingMark[]) => void
}

/** Where a chat was last served: advice only, lost entries cost a cache miss. */
export type ChatDirectory = {
  readonly lookUp: (chatKey: string) => Promise<string | undefined>
  readonly store: (chatKey: string, backendServer: string) => void
}

export type ConfigurationHolder = {
  /** The configuration in force here; `undefined` until the node has one. */
  readonly current: () => Configuration | undefined
  readonly generation: () => number
  readonly onChange: (listener: (configuration: Configuration) => void) => void
  /** Why this node lacks a newer generation that it has heard of, when it does. */
  readonly pending: () => { readonly generation: number, readonly reason: string } | undefined
}

export type ClaimOutcome =
  /** This node alone may send the request. */
  | { readonly kind: 'granted', readonly claimId: string }
  /** Complete earlier: the same answer again. */
  | { readonly kind: 'answered', readonly answer: StoredAnswer }
  /** In flight or lost elsewhere: whether it ran is unknown. */
  | { readonly kind: 'claimedElsewhere', readonly holder: string }
  /** The key was used before with another request body. */
  | { readonly kind: 'keyReused' }
  /** The claim could not be written; nothing was sent. */
  | { readonly kind: 'unavailable', readonly message: string }

export type StoredAnswer = {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

export type Claims = {
  /**
   * Asks to be the one sender of a key. A repeat of a key that is in flight on
   * this node waits for its answer until `waitUntil` (the clock's monotonic
   * milliseconds); without it, the repeat is told `claimedElsewhere` at once.
   */
  readonly claim: (key: ClaimKey, bodyHash: string, waitUntil?: number) => Promise<ClaimOutcome>
  /** Gives a claim back; only for a request that was surely not sent. */
  readonly release: (key: ClaimKey, claimId: string) => Promise<void>
  /** Records the final answer of a claimed request, so that a repeat gets it again. */
  readonly complete: (key: ClaimKey, claimId: string, answer: StoredAnswer) => Promise<void>
  /** Ends the wait of repeats for a request that was sent and whose outcome will stay unknown. */
  readonly recordUnknown?: (key: ClaimKey, claimId: string) => void
}

export type AdmissionTicket = { readonly finish: (tokensUsed: number) => void }

/** Fair shares of a full backend pool between client accounts. */
export type Admission = {
  readonly admit: (demand: AdmissionDemand) => Promise<Result<AdmissionTicket, AdmissionRefusal>>
  readonly usage: () => readonly AccountUsage[]
  readonly mergeUsage: (nodeId: string, usage: readonly AccountUsage[]) => void
}

export type AdmissionDemand = {
  readonly clientAccount: string
  readonly service: string
  readonly tokens: number
  readonly overnight: boolean
  readonly deadlineAt: number
  readonly signal: AbortSignal
}

export type AdmissionRefusal = { readonly reason: RefusalReason, readonly retryAfterMs: number }

/** What placement needs to know of a request. */
export type PlacementDemand = {
  readonly service: string
  readonly chatKey: string
  /** From a verified hint or the chat directory; advice only. */
  readonly hintedBackendServer?: string
  readonly isNewChat: boolean
  /** Backend servers that this request has already failed on. */
  readonly excluded: ReadonlySet<string>
}

export type Placement =
  | { readonly kind: 'chosen', readonly backendServer: BackendServer }
  | { readonly kind: 'none', readonly reason: 'noBackendServer' | 'queueFull', readonly retryAfterMs: number }

/**
 * Chooses the backend server of one attempt. The caller counts the attempt in
 * the load view before anything else runs, so that a burst of requests does
 * not choose on the same counts.
 */
export type BackendPlacement = {
  readonly choose: (demand: PlacementDemand) => Placement
}

/** What became of every request that was accepted: accepted = complete + refused + unknown + open. */
export type RequestLedger = {
  readonly accepted: number
  readonly complete: number
  readonly refused: number
  readonly unknown: number
  readonly open: number
}

export type Dispatch = {
  readonly handle: (request: CallerRequest, signal: AbortSignal) => Promise<CallerAnswer>
  readonly ledger: () => RequestLedger
  /** Milliseconds that the oldest open request has been open; past every deadline it is a lost one. */
  readonly oldestOpenMs: () => number
  /** Resolves when no request is open. */
  readonly whenIdle: () => Promise<void>
}

/** What the kernel holds, by name. */
export type NodeServices = {
  readonly membership: Membership
  readonly loadView: LoadView
  readonly backendHealth: BackendHealth
  readonly chatDirectory: ChatDirectory
  readonly configuration: ConfigurationHolder
  readonly claims: Claims
  readonly admission: Admission
  readonly placement: BackendPlacement
  readonly dispatch: Dispatch
}

/** A planned stop together with the backend server that it stops. */
export type PlannedStopView = { readonly plannedStop: PlannedStop, readonly backendServer: BackendServer }

export type SheetChange = {
  readonly record: keyof Sheet
  readonly name: string
  readonly before?: string
  readonly after?: string
}
