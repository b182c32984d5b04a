/**
 * What a node takes from the machine it runs on: time, randomness and logs.
 * Every one of them is handed in, so that a test or another harness can drive
 * many nodes in one process with a manual clock and a seeded random source.
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

/** How far a process that has just been started can have come. */
export type StartStep =
  /** The first file runs. */
  | 'begun'
  | 'listening'
  /** The program's modules have run. */
  | 'loaded'
  /** The services are made and ask for what they need. */
  | 'asking'
  | 'configuration'
  | 'backendServers'
  | 'firstPeer'
  /** Where prompts are kept, as far as it was asked for. */
  | 'promptPlaces'
  /** Readiness was asked for and granted. */
  | 'ready'
  | 'firstRequest'
  | 'firstServed'

export type StartTimeline = {
  readonly mark: (step: StartStep) => void
  /** Of each step, milliseconds and milliseconds of processor time since the process began. */
  readonly fields: () => LogFields
}
