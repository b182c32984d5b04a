/**
 * Lets services add fields to heartbeats and receive those of peers, without
 * membership depending on them. Each service registers a contributor, a listener
 * or both.
 */
import type { Heartbeat, HeartbeatParts, Member } from '../../types/index.js'

/** Returns the fields that a service adds to the heartbeat for `receiver`. */
export type HeartbeatContributor = (receiver: Member) => HeartbeatParts

export type HeartbeatListener = (heartbeat: Heartbeat) => void

export type HeartbeatExchange = {
  readonly addContributor: (contributor: HeartbeatContributor) => void
  readonly addListener: (listener: HeartbeatListener) => void
  /** Merges the fields of all contributors; for the same field the last contributor wins. */
  readonly collect: (receiver: Member) => HeartbeatParts
  readonly deliver: (heartbeat: Heartbeat) => void
}

/**
 * Creates an exchange with no contributors.
 *
 * @returns The exchange; membership collects from it and delivers to it.
 *
 * @example
 * const exchange = createHeartbeatExchange()
 * exchange.addContributor(() => ({ leavingMarks: [] }))
 * exchange.collect(receiver) // => { leavingMarks: [] }
 */
export const createHeartbeatExchange = (): HeartbeatExchange => {
  const contributors: HeartbeatContributor[] = []
  const listeners: HeartbeatListener[] = []
  return {
    addContributor: (contributor) => { contributors.push(contributor) },
    addListener: (listener) => { listeners.push(listener) },
    collect: (receiver) => Object.assign({}, ...contributors.map((contribute) => contribute(receiver))) as HeartbeatParts,
    deliver: (heartbeat) => { for (const listen of listeners) listen(heartbeat) }
  }
}
