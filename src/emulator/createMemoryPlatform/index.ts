/**
 * Emulates the platform as a versioned object store in memory, with conditional
 * writes, revisions and watches but without a network.
 */
import { failure, success } from '../../kernel/index.js'
import type { Clock, ObjectChange, ObjectList, Platform, PlatformError, PlatformObject, Result, Vm, WatchEvents } from '../../types/index.js'

export type MemoryPlatformOptions = {
  /** Number of changes kept for watches; a watch on an older revision fails with `revisionGone`. */
  readonly historyLimit?: number
  readonly maximumObjectBytes?: number
}

export type MemoryPlatform = Platform & {
  readonly setVms: (vms: readonly Vm[]) => void
  /** Revision of the store: the number of writes so far. */
  readonly revision: () => number
}

type RecordedChange = ObjectChange & { readonly revision: number }

type Watcher = { readonly prefix: string, readonly notify: (change: RecordedChange) => void }

const DEFAULT_HISTORY_LIMIT = 10_000
const DEFAULT_MAXIMUM_OBJECT_BYTES = 1_000_000
const DEFAULT_LIST_LIMIT = 1000

/**
 * Creates an empty store.
 *
 * Its results depend only on the calls and the clock, so runs are reproducible.
 * The version of an object is the revision at which it was written. Bytes passed
 * in and returned are copies.
 *
 * @param clock - Times out watches.
 * @param options - Limits of the history, in changes, and of one object, in bytes.
 * @returns A `Platform` whose VM list can be set.
 *
 * @example
 * const platform = createMemoryPlatform(createManualClock())
 * await platform.createObject('status/a', new Uint8Array([1])) // => { ok: true, value: '1' }
 */
export const createMemoryPlatform = (clock: Clock, options: MemoryPlatformOptions = {}): MemoryPlatform => {
  const historyLimit = options.historyLimit ?? DEFAULT_HISTORY_LIMIT
  const maximumObjectBytes = options.maximumObjectBytes ?? DEFAULT_MAXIMUM_OBJECT_BYTES
  const objects = new Map<string, PlatformObject>()
  const watchers = new Set<Watcher>()
  let history: RecordedChange[] = []
  let oldestWatchableRevision = 0
  let revision = 0
  let vms: readonly Vm[] = []

  const record = (name: string, kind: ObjectChange['kind']): string => {
    revision += 1
    const change = { name, kind, version: String(revision), revision }
    history.push(change)
    if (history.length > 2 * historyLimit) history = history.slice(-historyLimit)
    oldestWatchableRevision = Math.max(oldestWatchableRevision, revision - historyLimit)
    for (const watcher of [...watchers]) {
      if (name.startsWith(watcher.prefix)) watcher.notify(change)
    }
    return change.version
  }

  const put = (name: string, bytes: Uint8Array): Result<string, PlatformError> => {
    if (bytes.byteLength > maximumObjectBytes) return failure({ kind: 'rejected', message: `an object holds at most ${maximumObjectBytes} bytes` })
    const version = record(name, 'put')
    objects.set(name, { name, version, bytes: Uint8Array.from(bytes) })
    return success(version)
  }

  const changesAfter = (prefix: string, after: number): readonly ObjectChange[] =>
    history
      .filter((change) => change.revision > after && change.name.startsWith(prefix))
      .map(({ name, kind, version }) => ({ name, kind, version }))

  const waitForChange = (prefix: string, timeoutMs: number): Promise<WatchEvents> =>
    new Promise((resolve) => {
      const finish = (changes: readonly ObjectChange[]): void => {
        watchers.delete(watcher)
        timer.cancel()
        resolve({ revision, changes })
      }
      const watcher: Watcher = {
        prefix,
        notify: ({ name, kind, version }) => finish([{ name, kind, version }])
      }
      watchers.add(watcher)
      const timer = clock.setTimer(timeoutMs, () => finish([]))
    })

  return {
    readObject: async (name) => {
      const found = objects.get(name)
      return success(found === undefined ? undefined : { ...found, bytes: Uint8Array.from(found.bytes) })
    },
    createObject: async (name, bytes) => objects.has(name) ? failure({ kind: 'conflict' }) : put(name, bytes),
    updateObject: async (name, bytes, expected) => objects.get(name)?.version === expected ? put(name, bytes) : failure({ kind: 'conflict' }),
    deleteObject: async (name, expected) => {
      if (objects.get(name)?.version !== expected) return failure({ kind: 'conflict' })
      objects.delete(name)
      record(name, 'delete')
      return success(undefined)
    },
    listObjects: async (prefix, { after = '', limit = DEFAULT_LIST_LIMIT } = {}) => {
      const names = [...objects.keys()].filter((name) => name.startsWith(prefix) && name > after).sort()
      return success(buildList(names, limit, objects, revision))
    },
    watchObjects: async (prefix, after, timeoutMs) => {
      // A revision beyond the current one comes from a store that has been
      // replaced. A watch on it would wait for ever and miss all changes up to it.
      if (after < oldestWatchableRevision || after > revision) return failure({ kind: 'revisionGone' })
      const missed = changesAfter(prefix, after)
      if (missed.length > 0) return success({ revision, changes: missed })
      return success(await waitForChange(prefix, timeoutMs))
    },
    listVms: async () => success(vms),
    close: async () => {},
    setVms: (list) => { vms = list },
    revision: () => revision
  }
}

const buildList = (names: readonly string[], limit: number, objects: ReadonlyMap<string, PlatformObject>, revision: number): ObjectList => {
  const shown = names.slice(0, limit)
  const list = { objects: shown.map((name) => ({ name, version: objects.get(name)!.version })), revision }
  const last = shown.at(-1)
  return last !== undefined && names.length > limit ? { ...list, continueAfter: last } : list
}
