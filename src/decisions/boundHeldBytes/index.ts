/**
 * Bounds the bytes that a node holds for callers. Load pattern: many callers read more
 * slowly than their answers arrive. Each answer may hold as much as is still free (a dynamic
 * threshold), so that one slow caller is not paused while there is room, and many of them
 * share it. A paused answer is read a little now and then, as a backend server cuts off one
 * that stays unread for some seconds. Where the bound nears, the connection is ended that
 * holds most and has read nothing for longest; one that reads never is.
 */
import type { HeldEnd, HeldLimits } from '../../types/index.js'

/** State of one connection whose caller has not read everything. */
export type HeldConnection = {
  readonly id: number
  /** Bytes that were written and that the connection has not taken yet. */
  readonly unreadBytes: number
  /** Everything that the node holds for the request, in bytes. */
  readonly heldBytes: number
  /** Time since the connection last took bytes, in milliseconds. */
  readonly unreadMs: number
  /** Unread for this long, the connection is given up even where there is room; in milliseconds. */
  readonly maximumUnreadMs: number
  /** How long the answer of the backend server has been paused, in milliseconds; `undefined` while it is not. */
  readonly pausedMs: number | undefined
}

export type HeldDecision = {
  /** Answers to read on from the backend server. */
  readonly resume: readonly number[]
  readonly end: readonly { readonly id: number, readonly reason: HeldEnd }[]
}

const BYTES_PER_MB = 1_048_576
/** Share of the VM's memory: beside it there is room for the heap of the program, its code and the buffers of the kernel. */
const HELD_SHARE = 0.2
/** One connection may hold this share of the bound. Callers that read nothing keep what they have when others come, so that a few of them must not hold most of it. */
const CALLER_SHARE = 1 / 256
/** Answers are paused so that they hold this share of the bound together; the rest is for bodies and for what is read after a pause. */
const PAUSE_SHARE = 0.7
/** Paused answers are read on up to this share, so that what they add leaves room for bodies of new requests. */
const READ_ON_SHARE = 0.75
/** From this share on connections that read nothing are ended: before requests must be refused for them. */
const END_SHARE = 0.8
/** From this share on requests are refused. */
const REFUSE_SHARE = 0.9
/** An answer may always hold this much: less would pause callers that read at once. */
const MINIMUM_ALLOWANCE_BYTES = 16_384
/** Part of what is still free that one answer may be buffered in. */
const BUFFER_SHARE = 1 / 32
/** Largest read from the connection of a backend server, in bytes. */
export const READ_BYTES = 65_536
/** A paused answer is read on after this time, well before a backend server gives it up after some seconds; in milliseconds. */
const KEEP_READING_MS = 1_000
/** A connection that took nothing for this long reads nothing: windows of a slow reader open every few seconds; in milliseconds. */
const READS_NOTHING_MS = 5_000
/** The same when the bound is exceeded; a caller that reads at once takes bytes many times within it. */
const READS_NOTHING_OVER_BOUND_MS = 500

/**
 * Computes the limits of a VM.
 *
 * @param memoryMb - Memory of the VM in megabytes.
 * @returns The limits in bytes.
 *
 * @example
 * computeHeldLimits(250).totalBytes // => 52428800
 */
export const computeHeldLimits = (memoryMb: number): HeldLimits => {
  const totalBytes = Math.floor(memoryMb * BYTES_PER_MB * HELD_SHARE)
  return { totalBytes, callerBytes: Math.floor(totalBytes * CALLER_SHARE) }
}

/** Returns how many bytes each answer may hold now, when the node holds `totalBytes`. */
export const computeAllowance = ({ totalBytes: bound, callerBytes }: HeldLimits, totalBytes: number): number =>
  Math.max(MINIMUM_ALLOWANCE_BYTES, Math.min(callerBytes, PAUSE_SHARE * bound - totalBytes))

/**
 * Returns how many bytes of an answer may be buffered until it is complete, when the node holds
 * `totalBytes`. It leaves soon, so that it may be larger than an answer that waits for its caller.
 */
export const computeBufferAllowance = (limits: HeldLimits, totalBytes: number): number =>
  Math.max(computeAllowance(limits, totalBytes), BUFFER_SHARE * (PAUSE_SHARE * limits.totalBytes - totalBytes))

/** Returns whether the node has room for a request whose body has `bodyBytes`. */
export const hasRoomFor = ({ totalBytes: bound }: HeldLimits, totalBytes: number, bodyBytes: number): boolean =>
  totalBytes + bodyBytes < REFUSE_SHARE * bound

/**
 * Decides which paused answers go on and which connections are ended.
 *
 * @param limits - The bound, in bytes.
 * @param totalBytes - Bytes that the node holds now, for these connections and others.
 * @param connections - Connections with unread bytes or a paused answer.
 * @returns Ids of both kinds; an id is in one list at most.
 *
 * @example
 * boundHeldBytes({ totalBytes: 1_000_000, callerBytes: 100_000 }, 0, []) // => { resume: [], end: [] }
 */
export const boundHeldBytes = (limits: HeldLimits, totalBytes: number, connections: readonly HeldConnection[]): HeldDecision => {
  const ended = new Map<number, HeldEnd>()
  let left = totalBytes
  const end = ({ id, heldBytes }: HeldConnection, reason: HeldEnd): void => {
    ended.set(id, reason)
    left -= heldBytes
  }

  for (const connection of connections) {
    if (connection.unreadBytes > 0 && connection.unreadMs >= connection.maximumUnreadMs) end(connection, 'unread')
  }
  const near = END_SHARE * limits.totalBytes
  const stuck = left < near
    ? []
    : connections
      .filter(({ id, unreadBytes, unreadMs }) => !ended.has(id) && unreadBytes > 0 && unreadMs >= READS_NOTHING_OVER_BOUND_MS)
      .toSorted((one, other) => other.heldBytes * other.unreadMs - one.heldBytes * one.unreadMs)
  for (const connection of stuck) {
    if (left < near) break
    if (left >= limits.totalBytes || connection.unreadMs >= READS_NOTHING_MS) end(connection, 'memory')
  }

  const resume: number[] = []
  const allowance = computeAllowance(limits, left)
  let room = READ_ON_SHARE * limits.totalBytes - left
  const paused = connections
    .filter(({ id, pausedMs }) => pausedMs !== undefined && !ended.has(id))
    .toSorted((one, other) => (other.pausedMs ?? 0) - (one.pausedMs ?? 0))
  for (const { id, unreadBytes, pausedMs = 0 } of paused) {
    const hasRead = unreadBytes <= allowance / 2
    const isDue = pausedMs >= KEEP_READING_MS && unreadBytes < limits.callerBytes && room >= READ_BYTES
    if (!hasRead && !isDue) continue
    room -= READ_BYTES
    resume.push(id)
  }
  return { resume, end: [...ended].map(([id, reason]) => ({ id, reason })) }
}
