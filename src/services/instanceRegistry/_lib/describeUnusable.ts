/** Checks an entry that a peer has decoded: one of another build may accept what this one does not. */
import { isAddress } from '../../../kernel/index.js'
import type { BackendInstance } from '../../../types/index.js'

const MAXIMUM_TEXT_LENGTH = 256
const MAXIMUM_SLOTS = 1_000_000
const MAXIMUM_WARM_UP_MS = 86_400_000
/** What a header may contain. */
const ID = /^[\x21-\x7e]{1,256}$/
/** Half of a character outside the basic plane: it can't be URI-encoded. */
const LONE_SURROGATE = /\p{Surrogate}/u

const isText = (value: unknown): boolean => typeof value === 'string' && value.length <= MAXIMUM_TEXT_LENGTH && !LONE_SURROGATE.test(value)

const CHECKS: { readonly [Field in keyof BackendInstance]-?: (instance: BackendInstance) => boolean } = {
  id: ({ id }) => ID.test(id),
  service: ({ service }) => service !== '' && isText(service),
  address: ({ address }) => isAddress(address),
  availabilityZone: ({ availabilityZone }) => isText(availabilityZone),
  slots: ({ slots }) => Number.isSafeInteger(slots) && slots > 0 && slots <= MAXIMUM_SLOTS,
  isLeaving: () => true,
  incarnation: ({ incarnation }) => Number.isSafeInteger(incarnation) && incarnation >= 0,
  warmUpMs: ({ warmUpMs }) => warmUpMs >= 0 && warmUpMs <= MAXIMUM_WARM_UP_MS,
  softwareVersion: ({ softwareVersion }) => softwareVersion === undefined || isText(softwareVersion),
  isUnregistered: () => true
}

/** Returns the field of the entry that can't be used; `undefined` when all can. */
export const describeUnusable = (instance: BackendInstance): string | undefined =>
  Object.entries(CHECKS).find(([, isUsable]) => !isUsable(instance))?.[0]
