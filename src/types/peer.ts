/**
 * Messages between routers, and the transport that carries them. A message is
 * a tagged union; each service registers a handler for the kinds it owns.
 */
import type { ChangePosition, ConfigurationNews, InstanceNews, ZoneDrainNews } from './gatewayKnowledge.js'
import type { Result } from './result.js'

export type PeerAddress = { readonly host: string, readonly port: number }

/** What a router says of itself, and what others pass on about it. */
export type Member = {
  readonly nodeId: string
  /** Grows each time the node restarts or refutes a suspicion. */
  readonly incarnation: number
  readonly address: PeerAddress
  readonly availabilityZone: string
  readonly state: MemberState
  /** Configuration generation in force there; 0 when it has none. */
  readonly generation: number
  /** Thousandths of a core that its VM gives it; left out where that is not known. */
  readonly millicores?: number
}

export type MemberState = 'live' | 'suspect' | 'leaving' | 'dead'

/** Requests in flight that one router has on one backend server. */
export type LoadCount = { readonly backendServer: string, readonly inFlight: number }

/**
 * Load of one router. A digest with `full` replaces what was known of `source`; one without
 * carries only the counts that changed since sequence number `sequence - 1`.
 */
export type LoadDigest = {
  readonly source: string
  readonly sequence: number
  readonly full: boolean
  readonly counts: readonly LoadCount[]
}

/** A load digest of one router, with the 32-bit hashes of the servers' names. */
export type PackedLoadDigest = {
  readonly kind: 'loadDigest'
  readonly source: string
  readonly sequence: number
  readonly full: boolean
} & PackedLoadCounts

/**
 * Load of the backend servers of one availability zone, in a large fleet: the
 * requests of one router, the sum of one zone's routers, or the sum of all
 * zones. It is always whole, so a lost one is made good by the next.
 */
export type LoadSnapshot = {
  readonly scope: 'node' | 'zone' | 'fleet'
  /** Node that counted, or zone that was summed. */
  readonly source: string
  /** Node that made it. */
  readonly nodeId: string
  /** Availability zone of the backend servers; empty where they are summed together. */
  readonly group: string
  /** Grows from one snapshot of a node to the next. */
  readonly sequence: number
} & PackedLoadCounts

/** Requests in flight by backend server, with the hash of its name in place of the name. */
export type PackedLoadCounts = {
  readonly servers: Uint32Array
  /** In the order of `servers`, in one byte each where all fit. */
  readonly inFlight: Uint8Array | Uint16Array
}

/** A mark that a backend server is leaving; a higher epoch alone replaces it. */
export type LeavingMark = {
  readonly backendServer: string
  readonly epoch: number
  readonly leaving: boolean
  /** Whose word it is; each source has its own epochs, and one that says leaving is enough. */
  readonly source?: LeavingSource
}

export type LeavingSource = 'vmList' | 'backendServer'

/** Work that one router lately started for one client account on one service, in tokens, decayed with time. */
export type AccountUsage = { readonly clientAccount: string, readonly service?: string, readonly tokens: number }

export type ClaimKey = { readonly clientAccount: string, readonly idempotencyKey: string }

export type PeerMessage =
  | {
    readonly kind: 'heartbeat'
    readonly member: Member
    /** Members whose state changed lately, passed on. */
    readonly rumours: readonly Member[]
    /** Sequence number of the sender's last load digest, by which a receiver sees that it missed some. */
    readonly loadSequence?: number
    readonly leavingMarks?: readonly LeavingMark[]
    readonly accountUsage?: readonly AccountUsage[]
    /** The sender knows no peers yet and asks for the whole list of members. */
    readonly membersWanted?: boolean
    /** The rumours are members that the receiver asked for, and no news. */
    readonly isRoster?: boolean
    /** The sender has not heard from the receiver for a while and asks for a heartbeat. */
    readonly echoWanted?: boolean
    /** The sender missed a digest and asks this receiver for full counts. */
    readonly loadWanted?: boolean
  }
  | PackedLoadDigest
  | { readonly kind: 'loadSnapshot', readonly snapshot: LoadSnapshot }
  | { readonly kind: 'rootRequest' }
  | { readonly kind: 'chunkRequest', readonly hash: string }
  | { readonly kind: 'directoryStore', readonly chatKey: string, readonly backendServer: string }
  | { readonly kind: 'directoryLookup', readonly chatKey: string }
  | { readonly kind: 'claimAppend', readonly shard: number, readonly entries: readonly Uint8Array[] }
  | { readonly kind: 'claimOutcome', readonly key: ClaimKey }
  /** Prompt parts that lately went to backend servers. In a large fleet they go to one node of each zone, which passes them on there. */
  | { readonly kind: 'promptPlaces', readonly places: readonly KeptParts[], readonly isForZone?: boolean }
  /** Asks a gateway node for the prompt parts that it remembers, after a start. */
  | { readonly kind: 'promptPlacesRequest' }
  /** Asks a gateway node for what is newer than this; `since` is where the asker stands in that node's own changes. */
  | { readonly kind: 'knowledgeRequest', readonly version: number, readonly configurationRevision: number, readonly revision: number, readonly since?: ChangePosition }
  /** Tells that the sender has a newer configuration or changed backend servers: worth a question. */
  | { readonly kind: 'knowledgeNews', readonly source: string, readonly version: number, readonly position: ChangePosition, readonly zoneDrains?: ZoneDrainNews }

/** Ids of prompt parts that a backend server (`id@incarnation`) is believed to keep. */
export type KeptParts = { readonly server: string, readonly parts: readonly string[] }

export type PeerReply =
  | { readonly kind: 'none' }
  | { readonly kind: 'root', readonly root?: Uint8Array }
  | { readonly kind: 'chunk', readonly bytes?: Uint8Array }
  | { readonly kind: 'directoryEntry', readonly backendServer?: string }
  /** For each entry whether its claim holds the key, and the encoded record that does; empty bytes when none does. */
  | { readonly kind: 'claimAppended', readonly accepted: readonly boolean[], readonly records?: readonly Uint8Array[] }
  | { readonly kind: 'claimRefused', readonly message: string }
  | { readonly kind: 'claimOutcome', readonly outcome?: Uint8Array }
  /** `isWhole` where the node knows all that its zone's engines keep, as far as it could be learnt. */
  | { readonly kind: 'promptPlaces', readonly places: readonly KeptParts[], readonly isWhole: boolean }
  | {
    readonly kind: 'knowledge'
    readonly version: number
    /** Milliseconds since that version was surely the newest, when the reply was made; infinite when unknown. */
    readonly ageMs: number
    /** Left out where the asker holds that version. */
    readonly configuration?: ConfigurationNews
    /** Revision of the source up to which the backend servers are known. */
    readonly revision: number
    readonly instances: InstanceNews
    /** Left out where the node knows of none, or none can be. */
    readonly zoneDrains?: ZoneDrainNews
  }

export type PeerError =
  | { readonly kind: 'unreachable', readonly message: string }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'unhandled', readonly message: string }

export type PeerMessageKind = PeerMessage['kind']

export type PeerMessageOf<Kind extends PeerMessageKind> = Extract<PeerMessage, { readonly kind: Kind }>

export type Heartbeat = PeerMessageOf<'heartbeat'>

/** What services add to a heartbeat for one receiver; membership itself fills the rest. */
export type HeartbeatParts = Partial<Pick<Heartbeat, 'loadSequence' | 'leavingMarks' | 'accountUsage' | 'loadWanted'>>

export type PeerTransport = {
  /** One way, best effort: dropped when the peer cannot be reached or its queue is full. */
  readonly send: (address: PeerAddress, message: PeerMessage) => void
  readonly request: (address: PeerAddress, message: PeerMessage, timeoutMs: number) => Promise<Result<PeerReply, PeerError>>
  /** Sets the one handler of a message kind. A reply to a one-way message is dropped. */
  readonly handle: <Kind extends PeerMessageKind>(kind: Kind, handler: (message: PeerMessageOf<Kind>) => PeerReply | Promise<PeerReply>) => void
  readonly close: () => Promise<void>
}
