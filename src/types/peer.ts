/**
 * Messages between routers, and the transport that carries them. A message is
 * a tagged union; each service registers a handler for the kinds it owns.
 */
import type { PromptPartKey, QuarantineNotice, RequestCounts } from './promptQuarantine.js'
import type { ChangePosition, ConfigurationUpdate, InstanceUpdate, ZoneDrainSnapshot } from './gatewayState.js'
import type { Result } from './result.js'

export type PeerAddress = { readonly host: string, readonly port: number }

/** A member record: a node publishes its own, and other nodes forward it by gossip. */
export type Member = {
  readonly nodeId: string
  /** Grows each time the node restarts or refutes a suspicion. */
  readonly incarnation: number
  readonly address: PeerAddress
  readonly availabilityZone: string
  readonly state: MemberState
  /** Generation of the configuration in force on the node; 0 when it has none. */
  readonly generation: number
  /** CPU available to the node in thousandths of a core; omitted when unknown. */
  readonly millicores?: number
  /** Port at the host of `address` on which the node takes requests of peers; omitted when it takes none. */
  readonly relayPort?: number
}

/** Backend servers in the list of a node that are not leaving, and how many of them are not suspended in its own view. */
export type ServerReach = { readonly reachable: number, readonly known: number }

export type MemberState = 'live' | 'suspect' | 'leaving' | 'dead'

/** Number of requests that one router has in flight to one backend server. */
export type LoadCount = { readonly backendServer: string, readonly inFlight: number }

/**
 * Load of one router. A digest with `full` replaces all earlier counts of `source`; one without
 * carries only the counts that changed since sequence number `sequence - 1`.
 */
export type LoadDigest = {
  readonly source: string
  readonly sequence: number
  readonly full: boolean
  readonly counts: readonly LoadCount[]
}

/** Load digest of one router, with 32-bit hashes in place of backend server names. */
export type PackedLoadDigest = {
  readonly kind: 'loadDigest'
  readonly source: string
  readonly sequence: number
  readonly full: boolean
} & PackedLoadCounts

/**
 * Load of the backend servers of one availability zone, in a large fleet: the
 * requests of one router, the sum over one zone's routers, or the sum over all
 * zones. It is always complete, so the next snapshot makes up for a lost one.
 */
export type LoadSnapshot = {
  readonly scope: 'node' | 'zone' | 'fleet'
  /** The node whose requests were counted, or the zone that was summed. */
  readonly source: string
  /** Node that created the snapshot. */
  readonly nodeId: string
  /** Availability zone of the backend servers; empty when the snapshot covers all zones. */
  readonly group: string
  /** Increases with each snapshot of a node. */
  readonly sequence: number
  /** Milliseconds from the reading of the oldest counts in it to its sending. Omitted by nodes of older builds. */
  readonly ageMs?: number
  /** In a sum: milliseconds from one sum to the next, the longest of those that the summing nodes use. Omitted by nodes of older builds. */
  readonly periodMs?: number
} & PackedLoadCounts

/** Requests in flight by backend server, identified by the hash of its name. */
export type PackedLoadCounts = {
  readonly servers: Uint32Array
  /** In the order of `servers`; one byte per count if all counts fit, else two. */
  readonly inFlight: Uint8Array | Uint16Array
  /**
   * Prompt tokens that the servers have still to read, in the order of `servers` and in units of `UNREAD_UNIT_TOKENS`.
   * Omitted when there are none, and by nodes of older builds.
   */
  readonly unread?: Uint8Array | Uint16Array
}

/** Records whether a backend server is leaving. A mark with a higher epoch replaces it; within one epoch, leaving wins. */
export type LeavingMark = {
  readonly backendServer: string
  readonly epoch: number
  readonly leaving: boolean
  /** Who reported it. Each source has its own epochs, and a server is leaving if any source reports so. */
  readonly source?: LeavingSource
}

export type LeavingSource = 'vmList' | 'backendServer'

/** Work that one router recently started for one client account on one service, in tokens with exponential decay over time. */
export type AccountUsage = { readonly clientAccount: string, readonly service?: string, readonly tokens: number }

export type ClaimKey = { readonly clientAccount: string, readonly idempotencyKey: string }

export type PeerMessage =
  | {
    readonly kind: 'heartbeat'
    readonly member: Member
    /** Gossip updates: members whose state changed recently. */
    readonly rumours: readonly Member[]
    /** Sequence number of the sender's last load digest, from which a receiver detects missed digests. */
    readonly loadSequence?: number
    readonly leavingMarks?: readonly LeavingMark[]
    readonly accountUsage?: readonly AccountUsage[]
    /** The sender requests the complete list of members, for example because it has just started. */
    readonly membersWanted?: boolean
    /** `rumours` answers a request for the list of members; the entries are not recent changes. */
    readonly isRoster?: boolean
    /** The sender has received no recent heartbeat from the receiver and requests one. */
    readonly echoWanted?: boolean
    /** The sender missed a digest and requests full counts from the receiver. */
    readonly loadWanted?: boolean
    /** Backend servers that the sender reaches. */
    readonly reach?: ServerReach
  }
  | PackedLoadDigest
  | { readonly kind: 'loadSnapshot', readonly snapshot: LoadSnapshot }
  | { readonly kind: 'rootRequest' }
  | { readonly kind: 'chunkRequest', readonly hash: string }
  | { readonly kind: 'directoryStore', readonly chatKey: string, readonly backendServer: string }
  | { readonly kind: 'directoryLookup', readonly chatKey: string }
  | { readonly kind: 'claimAppend', readonly shard: number, readonly entries: readonly Uint8Array[] }
  | { readonly kind: 'claimOutcome', readonly key: ClaimKey }
  /** Prompt parts recently sent to backend servers. In a large fleet one node of each zone gets the message and forwards it within the zone. */
  | { readonly kind: 'promptPlaces', readonly places: readonly CachedParts[], readonly isForZone?: boolean }
  /** Sent by a gateway node after its start to request the cached prefix locations that another one has. */
  | { readonly kind: 'promptPlacesRequest' }
  /** Tells at which software versions streams of a service began. */
  | { readonly kind: 'streamBegins', readonly service: string, readonly begins: readonly StreamBegin[] }
  /** The same, to the node that keeps them in the platform's store for its zone. */
  | { readonly kind: 'streamBeginsToKeep', readonly service: string, readonly begins: readonly StreamBegin[] }
  /** Asks at which version a stream began; with the key of its route, a node without a record reads the platform's registers. */
  | { readonly kind: 'streamBeginRequest', readonly service: string, readonly requestId: string, readonly routeKey?: string }
  /** Sent by nodes of the release before after their start, to learn which software versions served before. */
  | { readonly kind: 'versionHistoryRequest' }
  /** Tells the holders of a service that a backend server (`id@incarnation`) ended under requests of the sender with these prompt parts. */
  | { readonly kind: 'partEnds', readonly source: string, readonly service: string, readonly server: string, readonly parts: readonly string[], readonly ageMs: number }
  /** Asks when answers to requests with these prompt parts were last in order. */
  | { readonly kind: 'soundPartsRequest', readonly service: string, readonly parts: readonly string[] }
  /** Tells which prompt parts are quarantined. */
  | { readonly kind: 'quarantinedParts', readonly source: string, readonly parts: readonly QuarantineNotice[] }
  /** Tells that answers to requests with these prompt parts were in order since. */
  | { readonly kind: 'releasedParts', readonly parts: readonly PromptPartKey[] }
  /** Requests everything newer than the stated versions; `since` is the position up to which the requester has the receiver's changes. */
  | { readonly kind: 'knowledgeRequest', readonly version: number, readonly configurationRevision: number, readonly revision: number, readonly since?: ChangePosition }
  /** Notifies that the sender has a newer configuration or changed backend servers, so that the receiver can request them. */
  | { readonly kind: 'knowledgeNews', readonly source: string, readonly version: number, readonly position: ChangePosition, readonly zoneDrains?: ZoneDrainSnapshot }

/** Ids of the prompt parts that a backend server (`id@incarnation`) probably has in its prompt cache, and of those that it is reading. */
export type CachedParts = { readonly server: string, readonly parts: readonly string[], readonly reading?: readonly string[] }

/** A stream and the software version of the backend server to which it was sent last before its first event. */
export type StreamBegin = { readonly requestId: string, readonly softwareVersion: string }

/** A software version of a service, and how many milliseconds ago the last server with it left; 0 while one serves. */
export type VersionSighting = { readonly service: string, readonly softwareVersion: string, readonly leftAgoMs: number }

export type PeerReply =
  | { readonly kind: 'none' }
  | { readonly kind: 'root', readonly root?: Uint8Array }
  | { readonly kind: 'chunk', readonly bytes?: Uint8Array }
  | { readonly kind: 'directoryEntry', readonly backendServer?: string }
  /** Per entry: whether its claim owns the key, and the encoded record of the owning claim; empty bytes when there is none. */
  | { readonly kind: 'claimAppended', readonly accepted: readonly boolean[], readonly records?: readonly Uint8Array[] }
  | { readonly kind: 'claimRefused', readonly message: string }
  /** Software versions that served during the last `knownForMs` milliseconds; infinite from the first start of the fleet. */
  | { readonly kind: 'versionHistory', readonly knownForMs: number, readonly versions: readonly VersionSighting[] }
  /** The version at which the stream began, or the only one that the registers allowed after the request; neither when unknown. */
  | { readonly kind: 'streamBegin', readonly softwareVersion?: string, readonly provenVersion?: string }
  | { readonly kind: 'claimOutcome', readonly outcome?: Uint8Array }
  /** Milliseconds since the last sound answer, in the order of the parts asked for, infinite without one; and the requests of the service on the replying node. */
  | { readonly kind: 'soundParts', readonly soundAgesMs: readonly number[], readonly counts: RequestCounts }
  /** `isWhole` is set once the node has finished collecting the prompt caches of its zone's model engines, even if some did not respond. */
  | { readonly kind: 'promptPlaces', readonly places: readonly CachedParts[], readonly isWhole: boolean }
  | {
    readonly kind: 'knowledge'
    readonly version: number
    /** Milliseconds since that version was last confirmed to be the newest, at the time of the reply; infinite when unknown. */
    readonly ageMs: number
    /** Omitted when the requester already has that version. */
    readonly configuration?: ConfigurationUpdate
    /** Revision of the source that the list of backend servers reflects. */
    readonly revision: number
    readonly instances: InstanceUpdate
    /** Omitted when the node has not read the zone drains, or the deployment has no zone drains. */
    readonly zoneDrains?: ZoneDrainSnapshot
    /** Milliseconds since the node last read the list of backend servers, or the zone drains, while it fails to; omitted while it can. */
    readonly instancesLostMs?: number
    readonly zoneDrainsLostMs?: number
    /** Milliseconds for which the source has answered the node, or the readers it relies on, without a gap in which entries can expire; omitted while it does not. */
    readonly sourceAnsweredForMs?: number
  }

export type PeerError =
  | { readonly kind: 'unreachable', readonly message: string }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'unhandled', readonly message: string }

export type PeerMessageKind = PeerMessage['kind']

export type PeerMessageOf<Kind extends PeerMessageKind> = Extract<PeerMessage, { readonly kind: Kind }>

export type Heartbeat = PeerMessageOf<'heartbeat'>

/** The heartbeat fields that services contribute for one receiver; membership fills in the others. */
export type HeartbeatParts = Partial<Pick<Heartbeat, 'loadSequence' | 'leavingMarks' | 'accountUsage' | 'loadWanted' | 'reach'>>

export type PeerTransport = {
  /** Sends a one-way message, best effort: it is dropped when the peer is unreachable or its queue is full. */
  readonly send: (address: PeerAddress, message: PeerMessage) => void
  readonly request: (address: PeerAddress, message: PeerMessage, timeoutMs: number) => Promise<Result<PeerReply, PeerError>>
  /** Sets the only handler of a message kind. Its reply to a one-way message is discarded. */
  readonly handle: <Kind extends PeerMessageKind>(kind: Kind, handler: (message: PeerMessageOf<Kind>) => PeerReply | Promise<PeerReply>) => void
  readonly close: () => Promise<void>
}
