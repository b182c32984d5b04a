/**
 * Detects a new root at the platform. A few nodes per zone hold a watch; the
 * others poll the root at a long interval, in case no peer reports a new one. All
 * nodes read it when they start.
 */
import { computeBackoff, type BackoffRange } from '../../../decisions/computeBackoff/index.js'
import { failure, success } from '../../../kernel/index.js'
import type { Clock, Platform, PlatformError, RandomSource, Result } from '../../../types/index.js'
import type { FetchedRoot } from './createConfigurationInstaller.js'
import { ROOT_NAME, type RootReader } from './createRootReader.js'
import type { InterruptibleDelay } from './createInterruptibleDelay.js'

export type PlatformWatch = {
  /** Runs until stopped. */
  readonly run: () => Promise<void>
  /** Checks again whether this node should hold a watch. */
  readonly reconsider: () => void
  /** Text describing the last response of the platform about the root, for a node that has no configuration. */
  readonly state: () => string
}

export type PlatformWatchOptions = BackoffRange & { readonly watchTimeoutMs: number, readonly pollIntervalMs: number }

export type PlatformWatchDependencies = {
  readonly platform: Platform
  readonly reader: RootReader
  readonly delay: InterruptibleDelay
  readonly clock: Clock
  readonly random: RandomSource
  readonly isWatcher: () => boolean
  readonly isRunning: () => boolean
  /** Generation in force on this node, 0 for none. */
  readonly generation: () => number
  /** Called with each root that was read, and the generation in force on this node before the read began. */
  readonly onRoot: (found: FetchedRoot, generationBefore: number) => void
}

export const createPlatformWatch = (dependencies: PlatformWatchDependencies, options: PlatformWatchOptions): PlatformWatch => {
  const { platform, reader, delay, clock, random, isWatcher, isRunning } = dependencies
  const hasConfiguration = (): boolean => dependencies.generation() > 0
  let state = 'the platform has not answered yet'
  let revision: number | undefined
  let failures = 0
  let wasWatching = false

  const readRoot = async (): Promise<Result<undefined, string>> => {
    const generationBefore = dependencies.generation()
    const found = await reader.readFromPlatform()
    if (!found.ok) return found
    state = 'no sheet has been applied yet'
    if (found.value !== undefined) dependencies.onRoot(found.value, generationBefore)
    return success(undefined)
  }

  /** The list gives the revision to watch from. The root is read after it, so that no change is missed in between. */
  const beginWatch = async (): Promise<Result<undefined, string>> => {
    const list = await platform.listObjects(ROOT_NAME, { limit: 1 })
    if (!list.ok) return describeError(list.error)
    const read = await readRoot()
    if (read.ok) revision = list.value.revision
    return read
  }

  /**
   * After any failure the watch starts from a new list. A root that was announced
   * but could not be read would otherwise not be announced again, and a platform
   * restored from a backup may count revisions from a lower number. A platform
   * that ends waiting watches at once counts as failing, so that calls to it are
   * paced by the backoff.
   */
  const continueWatch = async (from: number): Promise<Result<undefined, string>> => {
    const startedAt = clock.now()
    const events = await platform.watchObjects(ROOT_NAME, from, options.watchTimeoutMs)
    revision = undefined
    if (!events.ok) return describeError(events.error)
    if (events.value.changes.length === 0 && clock.now() - startedAt < options.minimumBackoffMs) return failure('platform: the watch ended at once')
    const read = events.value.changes.length === 0 ? success(undefined) : await readRoot()
    if (!read.ok) return read
    failures = 0
    if (events.value.revision >= from) revision = events.value.revision
    return read
  }

  const watch = (): Promise<Result<undefined, string>> => {
    wasWatching = true
    return revision === undefined ? beginWatch() : continueWatch(revision)
  }

  const poll = async (): Promise<Result<undefined, string>> => {
    wasWatching = false
    revision = undefined
    const read = await readRoot()
    if (read.ok) failures = 0
    if (read.ok || hasConfiguration()) await delay.wait(options.pollIntervalMs * (0.5 + random.next()))
    return hasConfiguration() ? success(undefined) : read
  }

  /** Starting a watch does not count as recovery and keeps the failure count. Only a watch that ran until its time-out or reported a change resets it. */
  const backOff = (problem: string): Promise<void> => {
    state = problem
    failures += 1
    return delay.wait(computeBackoff(failures, options, random.next()))
  }

  return {
    run: async () => {
      while (isRunning()) {
        const outcome = await (isWatcher() ? watch() : poll())
        if (!outcome.ok) await backOff(outcome.error)
      }
    },
    reconsider: () => { if (isWatcher() && !wasWatching) delay.interrupt() },
    state: () => state
  }
}

const describeError = (error: PlatformError): Result<undefined, string> => failure(`platform: ${error.kind}`)
