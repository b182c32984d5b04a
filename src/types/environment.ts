/**
 * Interfaces to the environment of a node: time, randomness and logs. They are
 * injected, so that a test or another harness can run many nodes in one process
 * with a manual clock and a seeded random source.
 */

/** A pending timer. Cancelling one that has already run does nothing. */
export type Timer = { readonly cancel: () => void }

export type Clock = {
  /** Monotonic time in milliseconds. Only differences mean anything. */
  readonly now: () => number
  /** Wall-clock time in milliseconds since 1970-01-01 UTC, for records and planned stops. */
  readonly wallTime: () => number
  /** Runs `callback` once after `delayMs` milliseconds. */
  readonly setTimer: (delayMs: number, callback: () => void) => Timer
}

export type RandomSource = {
  /** A number in [0, 1). */
  readonly next: () => number
  /** An identifier of at least 96 bits, unique over the fleet. */
  readonly nextId: () => string
}

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

export type Logger = {
  readonly error: (message: string, fields?: LogFields) => void
  readonly warn: (message: string, fields?: LogFields) => void
  readonly info: (message: string, fields?: LogFields) => void
  readonly debug: (message: string, fields?: LogFields) => void
}

/** The steps of a process start. */
export type StartStep =
  /** The entry file runs. */
  | 'begun'
  | 'listening'
  /** All modules of the program are loaded. */
  | 'loaded'
  /** The services are created and request the data they need. */
  | 'asking'
  | 'configuration'
  | 'backendServers'
  | 'firstPeer'
  /** The cached prefix locations are recovered, as far as peers and model engines responded. */
  | 'promptPlaces'
  /** A readiness check succeeded. */
  | 'ready'
  | 'firstRequest'
  | 'firstServed'

export type StartTimeline = {
  readonly mark: (step: StartStep) => void
  /** Per step, elapsed milliseconds and milliseconds of processor time since the process start. */
  readonly fields: () => LogFields
}
