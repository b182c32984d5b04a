/**
 * Writes releases and completions to the log in the background. No request waits for them
 * with a deadline, so each is retried until the platform accepts it. An entry that is lost
 * because the node dies leaves its key claimed with an unknown outcome, which is safe.
 */
import type { ClaimCompletionEntry, ClaimReleaseEntry } from '../../../decisions/foldClaims/index.js'
import type { ClaimsDependencies } from '../index.js'
import type { EntryRouter } from './createEntryRouter.js'

export type BackgroundEntry = ClaimReleaseEntry | ClaimCompletionEntry

/** Beyond this number the oldest entry is dropped, so that an outage does not exhaust the memory. */
const MAXIMUM_ENTRIES = 5_000

/** Attempts for each entry after the shutdown began; `outagePauseMs` lies between them. */
const SHUTDOWN_ATTEMPTS = 2

export type BackgroundEntries = {
  /** Resolves once the entry is in the log, or was dropped. */
  readonly add: (entry: BackgroundEntry) => Promise<void>
  readonly find: (keyId: string) => BackgroundEntry | undefined
  readonly stop: () => Promise<void>
}

export const createBackgroundEntries = (dependencies: ClaimsDependencies, router: EntryRouter): BackgroundEntries => {
  const { clock, logger, options } = dependencies
  const waiting = new Map<string, { readonly entry: BackgroundEntry, readonly settle: () => void }>()
  let isShuttingDown = false

  const settleEntry = (claimId: string): void => {
    waiting.get(claimId)?.settle()
    waiting.delete(claimId)
  }

  const pause = (): Promise<void> => new Promise((resolve) => { clock.setTimer(options.outagePauseMs, resolve) })

  const write = async (entry: BackgroundEntry): Promise<void> => {
    let shutdownAttempts = 0
    while (waiting.has(entry.claimId)) {
      const result = await router.submit(entry, false)
      if (result.ok) break
      if (isShuttingDown) shutdownAttempts += 1
      if (shutdownAttempts >= SHUTDOWN_ATTEMPTS) break
      await pause()
    }
    settleEntry(entry.claimId)
  }

  const dropOldest = (): void => {
    const [oldest] = waiting.keys()
    if (waiting.size < MAXIMUM_ENTRIES || oldest === undefined) return
    logger.warn('oldest waiting claim entry dropped: too many entries wait for the platform', { claimId: oldest })
    settleEntry(oldest)
  }

  const add = (entry: BackgroundEntry): Promise<void> => {
    dropOldest()
    return new Promise((resolve) => {
      waiting.set(entry.claimId, { entry, settle: resolve })
      write(entry)
    })
  }

  return {
    add,
    find: (keyId) => [...waiting.values()].map(({ entry }) => entry).find((entry) => entry.keyId === keyId),
    stop: async () => {
      isShuttingDown = true
      while (waiting.size > 0) await pause()
    }
  }
}
