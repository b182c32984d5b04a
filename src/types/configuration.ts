/**
 * The configuration that operators declare: client accounts, services with
 * their backend servers, routes and planned stops. A `Sheet` is the declaration;
 * a `Configuration` is a sheet that was accepted under a generation number.
 */

export type ClientAccount = {
  readonly name: string
  /** Share of a full backend pool, relative to the other client accounts. Above 0. */
  readonly weight: number
  /** Lower-case hex SHA-256 of each accepted key; two while a key is being replaced. */
  readonly keyHashes: readonly string[]
}

export type BackendServiceKind = 'model' | 'plain'

/** A group of interchangeable backend servers. */
export type BackendService = {
  readonly name: string
  readonly kind: BackendServiceKind
  /** Maximum load of a backend server as a multiple of the weighted mean load. Above 1. */
  readonly loadLimit: number
  /** The multiple that placement aims at: below `loadLimit`, because load counts lag. */
  readonly loadTarget: number
}

export type BackendServer = {
  readonly name: string
  readonly service: string
  /** Origin, for example `http://10.0.1.4:8000`. */
  readonly url: string
  readonly availabilityZone: string
  /** Number of requests it runs at once; also its weight in placement and in the mean load. */
  readonly slots: number
}

export type RequestPriority = 'interactive' | 'overnight'

export type Route = {
  readonly name: string
  readonly service: string
  /** The model name in callers' requests; set when the service's kind is `model`. */
  readonly model?: string
  /** The path prefix of callers' requests; set when the service's kind is `plain`. */
  readonly path?: string
  /** Whether a request may be run a second time after a failure. */
  readonly repeatable: boolean
  /** Whether the backend servers themselves run an idempotency key at most once. */
  readonly backendIdempotent: boolean
  readonly deadlineSeconds: number
  readonly priority: RequestPriority
}

/** One backend server, or all of an availability zone. */
export type PlannedStopTarget =
  | { readonly backendServer: string, readonly availabilityZone?: never }
  | { readonly availabilityZone: string, readonly backendServer?: never }

export type PlannedStop = PlannedStopTarget & {
  readonly name: string
  /** Wall-clock milliseconds since 1970. */
  readonly startsAt: number
  /** Wall-clock milliseconds since 1970; absent when the stop has no end. */
  readonly endsAt?: number
}

export type Sheet = {
  readonly clientAccounts: readonly ClientAccount[]
  readonly services: readonly BackendService[]
  readonly backendServers: readonly BackendServer[]
  readonly routes: readonly Route[]
  readonly plannedStops: readonly PlannedStop[]
}

export type Configuration = {
  /** 1 for the first accepted sheet, incremented with each further one. */
  readonly generation: number
  readonly appliedBy: string
  /** Wall-clock milliseconds since 1970. */
  readonly appliedAt: number
  readonly applyId: string
  readonly sheet: Sheet
}

/** One error in a sheet with its position. Lines and columns count from 1. */
export type SheetProblem = {
  readonly line: number
  readonly column: number
  readonly message: string
}

/** An error in one record, before its position in the file is determined. */
export type SheetRecordProblem = {
  readonly record: keyof Sheet
  /** Position of the record in its list, from 0. */
  readonly index: number
  readonly column: SheetColumn
  readonly message: string
}

/** The columns of a sheet's header row, in the order in which they are written. */
export type SheetColumn =
  | 'record' | 'name' | 'weight' | 'keySha256' | 'kind' | 'loadLimit' | 'loadTarget' | 'service' | 'url'
  | 'availabilityZone' | 'slots' | 'model' | 'path' | 'repeatable' | 'backendIdempotent' | 'deadlineSeconds'
  | 'priority' | 'backendServer' | 'startsAt' | 'endsAt'

/** Values of the `record` column. */
export type SheetRecordKind = 'clientAccount' | 'service' | 'backendServer' | 'route' | 'plannedStop'

/** One accepted generation, as recorded in the root object. */
export type AppliedGeneration = {
  readonly generation: number
  readonly applyId: string
  readonly appliedBy: string
  /** Wall-clock milliseconds since 1970. */
  readonly appliedAt: number
  readonly sheetHash: string
}

/** The object `configuration/root`. A sheet is accepted by the conditional update of this object. */
export type ConfigurationRoot = AppliedGeneration & {
  /** Content hashes of the chunks, in bucket order. */
  readonly chunks: readonly string[]
  /** The most recent generations before this one, newest first; bounded in number. */
  readonly history: readonly AppliedGeneration[]
}

/** A part of a sheet, stored under its content hash. */
export type ConfigurationChunk = { readonly hash: string, readonly bytes: Uint8Array }
