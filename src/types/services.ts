/**
 * Interfaces of the services of a router node, which the kernel registers by
 * name. Services depend on each other only through these types.
 */
import type { Configuration, BackendServer, PlannedStop, Sheet } from './configuration.js'
import type { LeavingMark, Member, AccountUsage, ClaimKey } from './peer.js'
import type { CallerAnswer, CallerRequest, LoadReport, RefusalReason } from './request.js'
import type { Result } from './result.js'

export type Membership = {
  readonly self: () => Member
  /** All known members, including dead ones until their records expire. */
  readonly members: () => readonly Member[]
  /** The members that are live and not leaving, including this node. */
  readonly liveMembers: () => readonly Member[]
  /** Notifies peers that this node is leaving; it continues to serve. */
  readonly announceLeaving: () => void
  readonly onChange: (listener: () => void) => void
}

/** State of a backend server as placement sees it. */
export type BackendServerState = 'live' | 'slowStart' | 'ejected' | 'leaving' | 'unreachable'

export type BackendServerStatus = {
  readonly backendServer: string
  readonly state: BackendServerState
  /** Share of its slots that placement may use: below 1 during slow start. */
  readonly weightShare: number
  /** Estimated requests in flight from the whole fleet. */
  readonly inFlight: number
  /** Requests in flight from this node. */
  readonly ownInFlight: number
}

/** Where the counts of other nodes' requests come from on which an estimate is based. */
export type LoadSource = {
  /** In a large fleet, the node that computed their sum and the number that it gave to it. Equal on all nodes with the same sum. */
  readonly sum?: string
  /** Milliseconds since the oldest of them were read, without the time that they were on the way; estimated in a small fleet. */
  readonly ageMs: number
  /** Requests in flight from other nodes at the backend server, averaged over the last counts; omitted in a small fleet. */
  readonly averageInFlight?: number
}

export type LoadView = {
  readonly recordStart: (backendServer: string) => void
  readonly recordEnd: (backendServer: string) => void
  /** Estimated requests in flight on a backend server, from all routers. */
  readonly estimateInFlight: (backendServer: string) => number
  readonly ownInFlight: (backendServer: string) => number
  /** The source of the estimate; in a large fleet `undefined` before the first sum and after the last one has expired. */
  readonly readSource: (backendServer: string) => LoadSource | undefined
  readonly applyReport: (backendServer: string, report: LoadReport) => void
}

export type AttemptOutcome = 'complete' | 'notSent' | 'refused' | 'failed'

/** Tracks which backend servers may get new work, from load reports, failures, planned stops and leaving marks. */
export type BackendHealth = {
  readonly status: (backendServer: string) => BackendServerStatus
  readonly statuses: () => readonly BackendServerStatus[]
  readonly recordAttempt: (backendServer: string, outcome: AttemptOutcome) => void
  readonly markLeaving: (backendServer: string) => void
  readonly leavingMarks: () => readonly LeavingMark[]
  readonly mergeLeavingMarks: (marks: readonly LeavingMark[]) => void
}

/** Records which backend server last served a chat. Advisory: a lost entry only costs a cache miss. */
export type ChatDirectory = {
  readonly lookUp: (chatKey: string) => Promise<string | undefined>
  readonly store: (chatKey: string, backendServer: string) => void
}

export type ConfigurationHolder = {
  /** The configuration in force on this node; `undefined` until the node has one. */
  readonly current: () => Configuration | undefined
  readonly generation: () => number
  readonly onChange: (listener: (configuration: Configuration) => void) => void
  /** A newer known generation that is not in force here yet, and the reason. */
  readonly pending: () => { readonly generation: number, readonly reason: string } | undefined
}

export type ClaimOutcome =
  /** The claim is granted: only this node may send the request. */
  | { readonly kind: 'granted', readonly claimId: string }
  /** The request completed earlier; the stored answer is returned again. */
  | { readonly kind: 'answered', readonly answer: StoredAnswer }
  /** Another claim holds the key, in flight or lost: whether the request ran is unknown. */
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
   * Claims the exclusive right to send the request of an idempotency key. A
   * duplicate of a request in flight on this node waits for its answer until
   * `waitUntil` (the clock's monotonic milliseconds); without `waitUntil` it
   * gets `claimedElsewhere` at once.
   */
  readonly claim: (key: ClaimKey, bodyHash: string, waitUntil?: number) => Promise<ClaimOutcome>
  /** Releases a claim. Only for a request that was certainly not sent. */
  readonly release: (key: ClaimKey, claimId: string) => Promise<void>
  /** Stores the final answer of a claimed request, so that duplicate requests get the same answer. */
  readonly complete: (key: ClaimKey, claimId: string, answer: StoredAnswer) => Promise<void>
  /** Stops duplicates from waiting for a request that was sent and whose outcome will stay unknown. */
  readonly recordUnknown?: (key: ClaimKey, claimId: string) => void
}

export type AdmissionTicket = { readonly finish: (tokensUsed: number) => void }

/** Divides a full backend pool fairly between client accounts. */
export type Admission = {
  readonly admit: (demand: AdmissionDemand) => Promise<Result<AdmissionTicket, AdmissionRefusal>>
  readonly usage: () => readonly AccountUsage[]
  readonly mergeUsage: (nodeId: string, usage: readonly AccountUsage[]) => void
}

/** The admission of a node that sends in the same turn in which room is found, before the next request is admitted. */
export type ImmediateAdmission = Pick<Admission, 'usage' | 'mergeUsage'> & {
  readonly enter: (demand: WaitingDemand, settle: (outcome: Result<AdmissionTicket, AdmissionRefusal>) => void) => WaitingPlace
}

export type WaitingDemand = {
  readonly clientAccount: string
  readonly service: string
  /** Name of the queue, for requests that may go to some servers of the service only; the service by default. */
  readonly queue?: string
  readonly tokens: number
  readonly overnight: boolean
  /** 0 is the most urgent. Counts only in queues that are ordered by priority. */
  readonly priority?: number
  /** Monotonic milliseconds until which the request may wait. */
  readonly deadlineAt: number
  /** Monotonic milliseconds until which a send can still meet the latency target; the end of the wait by default. */
  readonly onTimeUntil?: number
  /** Bytes that the node holds for the request while it waits; 0 by default. */
  readonly bytes?: number
  /** Whether its caller was refused before and has not waited for the Retry-After. */
  readonly isRepeat?: boolean
  /** Whether a backend server that may get the request has room; by default the slots of the service are counted. */
  readonly hasRoom?: () => boolean
}

export type AdmissionDemand = WaitingDemand & { readonly signal: AbortSignal }

/** The inputs of a decision of the queue, for the log. */
export type QueueState = {
  readonly queueLength: number
  readonly expectedWaitMs: number
  /** Recent work of the account in the whole fleet, in tokens. */
  readonly accountTokens: number
}

export type WaitingPlace = {
  /** State of the queue when the request entered it. */
  readonly state: QueueState
  /** Gives up the place of a request that still waits. */
  readonly leave: () => void
}

export type AdmissionRefusal = { readonly reason: RefusalReason, readonly retryAfterMs: number, readonly state?: QueueState }

/** The properties of a request that placement considers. */
export type PlacementDemand = {
  readonly service: string
  readonly chatKey: string
  /** From a verified hint or the chat directory; advisory. */
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
 * the load view before anything else runs, so that each request of a burst is
 * placed with the earlier ones counted.
 */
export type BackendPlacement = {
  readonly choose: (demand: PlacementDemand) => Placement
  /** A request was in flight at a server of the service for so many milliseconds. */
  readonly recordHoldTime: (service: string, milliseconds: number) => void
}

/** Counts accepted requests by outcome: accepted = complete + refused + unknown + open. */
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
  /** Milliseconds since the oldest open request was accepted. A value beyond every deadline means that a request was lost. */
  readonly oldestOpenMs: () => number
  /** Resolves when no request is open. */
  readonly whenIdle: () => Promise<void>
}

/** The services in the kernel, by name. */
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

/** A planned stop together with one backend server that it applies to. */
export type PlannedStopView = { readonly plannedStop: PlannedStop, readonly backendServer: BackendServer }

export type SheetChange = {
  readonly record: keyof Sheet
  readonly name: string
  readonly before?: string
  readonly after?: string
}
