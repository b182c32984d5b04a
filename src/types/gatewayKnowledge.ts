/**
 * What a gateway node believes and where it learned it: the configuration in
 * force, how lately it was confirmed to be the newest, and the backend servers.
 */
import type { BackendInstance, GatewayConfiguration, PromptPart } from './gateway.js'
import type { Result } from './result.js'

export type SourceError =
  /** The source refused, timed out, or could not be reached. */
  | { readonly kind: 'unavailable', readonly message: string }
  /** The changes since the given revision are no longer kept: list anew. */
  | { readonly kind: 'historyGone' }
  /** What was read is not a valid object of its kind. */
  | { readonly kind: 'malformed', readonly message: string }
  | { readonly kind: 'notFound' }

/**
 * What a configuration is made of, as its source writes it: lists of records by
 * section. A record that did not change from one configuration to the next is
 * the same object in both.
 */
export type ConfigurationRecords = Readonly<Record<string, readonly unknown[]>>

/** A configuration with the records it was decoded from, so that a node can hand it on. */
export type SourcedConfiguration = {
  readonly configuration: GatewayConfiguration
  readonly records: ConfigurationRecords
  /** Names the write that it came from: those with the same revision have the same records. */
  readonly revision: number
}

/** A run of records of the earlier configuration, or records that it lacks. */
export type RecordStep = { readonly from: number, readonly count: number } | { readonly records: readonly unknown[] }

/** What leads from one configuration's records to another's, in the order of the result. */
export type RecordChange = Readonly<Record<string, readonly RecordStep[]>>

/** A configuration as one node tells it to another: what changed since one that the asker holds, or all its records packed. */
export type ConfigurationNews = { readonly revision: number } & (
  | { readonly kind: 'change', readonly base: number, readonly change: RecordChange }
  | { readonly kind: 'whole', readonly bytes: Uint8Array }
)

export type ConfigurationSource = {
  /** Reads the newest configuration; the same object again while nothing changed. */
  readonly read: () => Promise<Result<SourcedConfiguration, SourceError>>
  /** Decodes the records of a peer; those that were decoded before cost next to nothing. */
  readonly decode: (records: ConfigurationRecords, revision: number) => Result<SourcedConfiguration, SourceError>
}

/** One entry of the list of backend servers; without `instance` it is malformed and names none. */
export type InstanceEntry = { readonly name: string, readonly instance?: BackendInstance }

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

/** How far a node has come in the changes that another one made to its list. */
export type ChangePosition = {
  /** Names one life of the list: a node that starts anew counts from the beginning. */
  readonly origin: number
  readonly sequence: number
}

/** What changed in one node's list of backend servers since a position, or the whole of it. */
export type InstanceNews = {
  /** Whether `instances` are all, so that others are gone. */
  readonly isWhole: boolean
  readonly instances: readonly BackendInstance[]
  readonly removed: readonly string[]
  readonly position: ChangePosition
}

export type GatewayConfigurationHolder = {
  readonly current: () => GatewayConfiguration | undefined
  readonly version: () => number
  /** Milliseconds since the configuration in force was surely the newest; infinite when that is unknown. */
  readonly confirmedAgeMs: () => number
  /** Asks all sources now; resolves when one has confirmed, after `waitMs`, or at once while the source is known to be away. */
  readonly confirm: (waitMs: number) => Promise<void>
  readonly onChange: (listener: (configuration: GatewayConfiguration) => void) => void
}

export type InstanceRegistry = {
  /** Backend servers of a service that may get work. */
  readonly list: (service: string) => readonly BackendInstance[]
  readonly find: (id: string) => BackendInstance | undefined
  readonly all: () => readonly BackendInstance[]
  /**
   * Backend servers whose entry was removed so lately that they still serve: they
   * get no requests, but what they keep can be copied.
   */
  readonly removedLately: () => readonly BackendInstance[]
  readonly revision: () => number
  /** Whether the list was read at least once since the start. */
  readonly isKnown: () => boolean
  /** How much longer a backend server warms up after its start, in milliseconds; 0 when it does not. */
  readonly warmUpLeftMs: (instance: BackendInstance) => number
  /** A backend server's own word, or proof from an answer, that this incarnation gets no more work. */
  readonly markGone: (instance: BackendInstance, reason: string) => void
  readonly onChange: (listener: () => void) => void
}

/** The availability zones whose backend servers get no work because an operator asked so, as of a revision of the source. */
export type ZoneDrainNews = { readonly revision: number, readonly zones: readonly string[] }

export type ZoneDrainChange = { readonly zone: string, readonly isEnded: boolean }

export type ZoneDrainSource = {
  readonly list: () => Promise<Result<ZoneDrainNews, SourceError>>
  /** Waits up to `waitMs` for changes after `revision`. */
  readonly watch: (revision: number, waitMs: number) => Promise<Result<{ readonly changes: readonly ZoneDrainChange[], readonly revision: number }, SourceError>>
}

export type ZoneDrains = {
  readonly isDrained: (availabilityZone: string) => boolean
  /** Milliseconds since the drain of a zone ended; infinite where none did. */
  readonly endedAgoMs: (availabilityZone: string) => number
  /** Revision of the source up to which the drains are known. */
  readonly revision: () => number
  /** Whether the drains were read or learnt at least once since the start. */
  readonly isKnown: () => boolean
  readonly onChange: (listener: () => void) => void
}

export type EngineMemorySource = {
  /** What a model engine keeps of prompts now; dear, since it delays the engine. */
  readonly list: (instance: BackendInstance) => Promise<Result<readonly PromptPart[], SourceError>>
}
