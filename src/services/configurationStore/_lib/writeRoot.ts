/**
 * Writes the root conditionally, which accepts a sheet, and handles lost replies.
 *
 * After a lost reply the same write is retried under the same condition. The
 * object can leave the expected version only once, so at most one of the two
 * writes takes effect. If the version has changed, the root and its history show
 * whether this apply changed it.
 */
import { decodeRoot } from '../../../decisions/decodeRoot/index.js'
import { encodeRoot } from '../../../decisions/encodeRoot/index.js'
import type { ConfigurationRoot, ObjectVersion, Platform, PlatformError, Result } from '../../../types/index.js'

export const ROOT_NAME = 'configuration/root'

export type RootWriteOutcome =
  | { readonly kind: 'accepted', readonly replacedBy?: ConfigurationRoot }
  /** Another root was written; this one certainly was not. */
  | { readonly kind: 'lost', readonly winner?: ConfigurationRoot }
  /** Certainly not written. */
  | { readonly kind: 'notWritten', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }

const MAXIMUM_ATTEMPTS = 6

export const writeRoot = async (platform: Platform, root: ConfigurationRoot, expected: ObjectVersion | undefined, waitToRetry: (failures: number) => Promise<void>): Promise<RootWriteOutcome> => {
  const bytes = encodeRoot(root)
  const write = (): Promise<Result<ObjectVersion, PlatformError>> =>
    expected === undefined ? platform.createObject(ROOT_NAME, bytes) : platform.updateObject(ROOT_NAME, bytes, expected)
  let wasLost = false
  let message = ''
  for (let attempts = 1; attempts <= MAXIMUM_ATTEMPTS; attempts += 1) {
    const written = await write()
    if (written.ok) return { kind: 'accepted' }
    if (written.error.kind === 'conflict') return settleConflict(platform, root, wasLost, waitToRetry)
    message = 'message' in written.error ? written.error.message : written.error.kind
    if (written.error.kind === 'outcomeUnknown') wasLost = true
    else if (!wasLost) return { kind: 'notWritten', message }
    if (attempts < MAXIMUM_ATTEMPTS) await waitToRetry(attempts)
  }
  return { kind: 'unknown', message }
}

const settleConflict = async (platform: Platform, root: ConfigurationRoot, wasLost: boolean, waitToRetry: (failures: number) => Promise<void>): Promise<RootWriteOutcome> => {
  let message = ''
  for (let attempts = 1; attempts <= MAXIMUM_ATTEMPTS; attempts += 1) {
    const found = await platform.readObject(ROOT_NAME)
    if (found.ok) return determineOutcome(root, found.value?.bytes, wasLost)
    message = `the root could not be read back: ${found.error.kind}`
    if (attempts < MAXIMUM_ATTEMPTS) await waitToRetry(attempts)
  }
  return wasLost ? { kind: 'unknown', message } : { kind: 'lost' }
}

const determineOutcome = (root: ConfigurationRoot, bytes: Uint8Array | undefined, wasLost: boolean): RootWriteOutcome => {
  const found = bytes === undefined ? undefined : decodeRoot(bytes)
  if (found === undefined || !found.ok) return wasLost ? { kind: 'unknown', message: 'the platform has no readable root' } : { kind: 'lost' }
  const winner = found.value
  if (winner.applyId === root.applyId) return { kind: 'accepted' }
  if (winner.history.some(({ applyId }) => applyId === root.applyId)) return { kind: 'accepted', replacedBy: winner }
  if (!wasLost || doesHistoryReach(winner, root.generation)) return { kind: 'lost', winner }
  return { kind: 'unknown', message: `generation ${winner.generation} is in force and no longer remembers generation ${root.generation}` }
}

/** Checks whether the history reaches back far enough to show which apply created a generation. */
const doesHistoryReach = (winner: ConfigurationRoot, generation: number): boolean =>
  [winner, ...winner.history].some((applied) => applied.generation <= generation)
