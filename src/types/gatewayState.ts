/**
 * State that a gateway node reads from its sources or receives from peers: the
 * configuration in force, when it was last confirmed to be the newest, the
 * backend servers and the zone drains.
 */
import type { BackendInstance, GatewayConfiguration, InstanceNotice, PromptPart } from './gateway.js'
import type { Result } from './result.js'

export type SourceError =
  /**
   * The source refused, timed out, or could not be reached. With `isConnectionSuspect`, the call was made on a connection that
   * may be at fault itself, and says nothing about the source: another connection may work.
   */
  | { readonly kind: 'unavailable', readonly message: string, readonly isConnectionSuspect?: boolean }
  /** The source no longer has the changes since the given revision; the list must be read again. */
  | { readonly kind: 'historyGone' }
  /** What was read is not a valid object of its kind. */
  | { readonly kind: 'malformed', readonly message: string }
  /** The reply takes more memory than one may. */
  | { readonly kind: 'tooLarge', readonly message: string }
  | { readonly kind: 'notFound' }

/**
 * The records of a configuration by section, as its source encodes them. A
 * record that did not change between two configurations is the same object in
 * both.
 */
export type ConfigurationRecords = Readonly<Record<string, readonly unknown[]>>

/** A configuration with the records it was decoded from, so that a node can forward it to peers. */
export type SourcedConfiguration = {
  readonly configuration: GatewayConfiguration
  readonly records: ConfigurationRecords
  /** Identifies the write that created it: equal revisions have equal records. */
  readonly revision: number
}

/** A range of records to copy from the base configuration, or new records to insert. */
export type RecordStep = { readonly from: number, readonly count: number } | { readonly records: readonly unknown[] }

/** Steps per section that turn one configuration's records into another's, in the order of the result. */
export type RecordChange = Readonly<Record<string, readonly RecordStep[]>>

/** A configuration sent between nodes: either the change from a revision that the receiver has, or all records compressed. */
export type ConfigurationUpdate = { readonly revision: number } & (
  | { readonly kind: 'change', readonly base: number, readonly change: RecordChange }
  | { readonly kind: 'whole', readonly bytes: Uint8Array }
)

export type ConfigurationSource = {
  /** Reads the newest configuration. Returns the same object while nothing has changed. */
  readonly read: () => Promise<Result<SourcedConfiguration, SourceError>>
  /** Decodes records received from a peer. Decoded records are cached, so unchanged ones cost next to nothing. */
  readonly decode: (records: ConfigurationRecords, revision: number) => Result<SourcedConfiguration, SourceError>
}

/** One entry of the list of backend servers. `instance` is omitted when the entry is malformed; `problem` then says why. */
export type InstanceEntry = { readonly name: string, readonly instance?: BackendInstance, readonly problem?: string }

export type InstanceChange = InstanceEntry & { readonly isRemoved: boolean }

export type InstancePage = {
  readonly entries: readonly InstanceEntry[]
  readonly revision: number
  readonly continueAfter?: string
}

export type InstanceSource = {
  readonly list: (after?: string) => Promise<Result<InstancePage, SourceError>>
  /** Waits up to `waitMs` for changes after `revision`. */
  readonly watch: (revision: number, waitMs: number) => Promise<Result<{ readonly changes: readonly InstanceChange[], readonly revision: number }, SourceError>>
}

/** Position in the sequence of changes that a node has made to its list of backend servers. */
export type ChangePosition = {
  /** Identifies one run of the node; a restarted node counts its changes from the beginning. */
  readonly origin: number
  readonly sequence: number
}

/** Changes to one node's list of backend servers since a position, or the complete list. */
export type InstanceUpdate = {
  /** Whether `instances` is the complete list, so that any other backend server is gone. */
  readonly isWhole: boolean
  readonly instances: readonly BackendInstance[]
  readonly removed: readonly string[]
  readonly position: ChangePosition
}

export type GatewayConfigurationHolder = {
  readonly current: () => GatewayConfiguration | undefined
  readonly version: () => number
  /** Milliseconds since the configuration in force was last confirmed to be the newest; infinite when unknown. */
  readonly confirmedAgeMs: () => number
  /** Queries the source and peers now. Resolves on the first confirmation, after `waitMs`, or at once while the source is known to be unreachable. */
  readonly confirm: (waitMs: number) => Promise<void>
  readonly onChange: (listener: (configuration: GatewayConfiguration) => void) => void
}

export type InstanceRegistry = {
  /** Backend servers of a service that may get requests. */
  readonly list: (service: string) => readonly BackendInstance[]
  readonly find: (id: string) => BackendInstance | undefined
  readonly all: () => readonly BackendInstance[]
  /**
   * Backend servers whose entry was removed so recently that they still run. They
   * get no requests, but their prompt caches can be copied.
   */
  readonly recentlyRemoved: () => readonly BackendInstance[]
  readonly revision: () => number
  /** Whether the list has been read or received at least once since the start. */
  readonly isKnown: () => boolean
  /** Remaining warm-up time of a backend server in milliseconds; 0 when it is not warming up. */
  readonly warmUpLeftMs: (instance: BackendInstance) => number
  /** Excludes an incarnation from further requests, because it stated in an answer that it is leaving, whatever its entry says. */
  readonly markLeaving: (instance: BackendInstance) => void
  /** Removes an incarnation from the list, because an answer showed that it is gone. */
  readonly markGone: (instance: BackendInstance, reason: string) => void
  readonly onChange: (listener: () => void) => void
}

/** The availability zones that operators are draining, as of a revision of the source. Their backend servers get no work. */
export type ZoneDrainSnapshot = { readonly revision: number, readonly zones: readonly string[] }

export type ZoneDrainChange = { readonly zone: string, readonly isEnded: boolean }

export type ZoneDrainSource = {
  readonly list: () => Promise<Result<ZoneDrainSnapshot, SourceError>>
  /** Waits up to `waitMs` for changes after `revision`. */
  readonly watch: (revision: number, waitMs: number) => Promise<Result<{ readonly changes: readonly ZoneDrainChange[], readonly revision: number }, SourceError>>
}

export type ZoneDrains = {
  readonly isDrained: (availabilityZone: string) => boolean
  /** Milliseconds since the drain of a zone ended; infinite when none has ended. */
  readonly endedAgoMs: (availabilityZone: string) => number
  /** Revision of the source that the drains reflect. */
  readonly revision: () => number
  /** Whether the drains have been read or received at least once since the start. */
  readonly isKnown: () => boolean
  readonly onChange: (listener: () => void) => void
}

export type PromptCacheSource = {
  /**
   * Lists the prompt parts in a model engine's prompt cache. Expensive: the query delays the engine's other work.
   * `onNotice` is called with the notice of the answer, whatever its status.
   */
  readonly list: (instance: BackendInstance, onNotice: (notice: InstanceNotice) => void) => Promise<Result<readonly PromptPart[], SourceError>>
}
