/**
 * Where services meet the heartbeat without membership knowing any of them:
 * each adds a function that gives its part for a receiver, or one that hears
 * what peers sent.
 */
import type { Heartbeat, HeartbeatParts, Member } from '../../types/index.js'

/** Gives a service's part of the heartbeat to `receiver`. */
export type HeartbeatContributor = (receiver: Member) => HeartbeatParts

export type HeartbeatListener = (heartbeat: Heartbeat) => void

export type HeartbeatExchange = {
  readonly addContributor: (contributor: HeartbeatContributor) => void
  readonly addListener: (listener: HeartbeatListener) => void
  /** Collects the parts of all contributors; a later one wins on the same field. */
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
