/**
 * What this node knows of each backend server from its own exchanges: its
 * condition, and how long it has been silent while requests wait there.
 */
import { advanceCondition, initialCondition } from '../../decisions/advanceCondition/index.js'
import type { ConditionEvent, InstanceCondition } from '../../decisions/advanceCondition/index.js'
import type { BackendInstance, Clock, Logger } from '../../types/index.js'

export type InstanceHealth = {
  readonly began: (instance: BackendInstance) => void
  readonly ended: (instance: BackendInstance) => void
  /** Bytes came from it, on any exchange. */
  readonly heard: (instance: BackendInstance) => void
  readonly record: (instance: BackendInstance, event: ConditionEvent) => void
  readonly isHeld: (instance: BackendInstance) => boolean
  /** Milliseconds since it was last heard, while a request waits there; 0 when none does. */
  readonly silentMs: (instance: BackendInstance) => number
  /** How many times dearer a request is there than at the median of the given servers; 1 or more. */
  readonly handicap: (instance: BackendInstance, peers: readonly BackendInstance[]) => number
  readonly retain: (live: ReadonlySet<string>) => void
}

type Contact = { open: number, quietSince: number }

/** The key of one start of a backend server: its memory and its counts begin anew with the next. */
export const keyOf = (instance: BackendInstance): string => `${instance.id}@${instance.incarnation}`

/** Slowness and errors beside the median's that are left alone: answers vary by as much. */
const TOLERATED_SLOWNESS = 1.6
const TOLERATED_ERROR_SHARE = 0.12
/** How much an error share of 1 weighs against slowness: a failed request is lost or sent twice. */
const ERROR_WEIGHT = 12

const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[sorted.length >> 1] ?? 0
}

/**
 * Creates the record of this node.
 *
 * @param dependencies - Clock and log.
 * @returns The record, empty.
 *
 * @example
 * createInstanceHealth({ clock, logger }).isHeld(instance) // => false
 */
export const createInstanceHealth = ({ clock, logger }: { readonly clock: Clock, readonly logger: Logger }): InstanceHealth => {
  const conditions = new Map<string, InstanceCondition>()
  const contacts = new Map<string, Contact>()

  const conditionOf = (instance: BackendInstance): InstanceCondition => conditions.get(keyOf(instance)) ?? initialCondition

  const contactOf = (instance: BackendInstance): Contact => {
    const key = keyOf(instance)
    const known = contacts.get(key)
    if (known !== undefined) return known
    const created = { open: 0, quietSince: clock.now() }
    contacts.set(key, created)
    return created
  }

  return {
    began: (instance) => {
      const contact = contactOf(instance)
      if (contact.open === 0) contact.quietSince = clock.now()
      contact.open += 1
    },
    ended: (instance) => { contactOf(instance).open -= 1 },
    heard: (instance) => { contactOf(instance).quietSince = clock.now() },
    record: (instance, event) => {
      const before = conditionOf(instance)
      const after = advanceCondition(before, event, clock.now())
      conditions.set(keyOf(instance), after)
      const wasHeld = before.heldUntil > clock.now()
      const isHeld = after.heldUntil > clock.now()
      if (isHeld && !wasHeld) logger.warn('backend server held', { backendServer: instance.id, service: instance.service, event: event.kind, failures: after.failuresInRow, holdMs: Math.round(after.heldUntil - clock.now()) })
      if (before.failuresInRow > 0 && after.failuresInRow === 0 && before.heldUntil > -Infinity) logger.info('backend server answers again', { backendServer: instance.id, service: instance.service })
    },
    isHeld: (instance) => conditionOf(instance).heldUntil > clock.now(),
    silentMs: (instance) => {
      const contact = contactOf(instance)
      return contact.open > 0 ? clock.now() - contact.quietSince : 0
    },
    handicap: (instance, peers) => {
      const condition = conditionOf(instance)
      if (condition.slowness < TOLERATED_SLOWNESS && condition.errorShare < TOLERATED_ERROR_SHARE) return 1
      const usualErrors = median(peers.map((peer) => conditionOf(peer).errorShare))
      const usualSlowness = Math.max(1, median(peers.map((peer) => conditionOf(peer).slowness)))
      const relative = condition.slowness / usualSlowness
      const slowness = relative < TOLERATED_SLOWNESS ? 1 : relative
      const errors = Math.max(0, condition.errorShare - usualErrors - TOLERATED_ERROR_SHARE)
      return slowness + ERROR_WEIGHT * errors
    },
    retain: (live) => {
      for (const key of conditions.keys()) if (!live.has(key)) conditions.delete(key)
      for (const [key, contact] of contacts) if (!live.has(key) && contact.open === 0) contacts.delete(key)
    }
  }
}
