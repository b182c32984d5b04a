/**
 * Holds the configuration in force on this node.
 *
 * A node detects a new generation at the platform or in a peer's heartbeat,
 * fetches the root and the missing chunks, verifies their hashes and switches in
 * one step. The generation never decreases: a platform restored from a backup,
 * or a peer that lags, has no effect.
 */
import { computeBackoff } from '../../decisions/computeBackoff/index.js'
import { isZoneWatcher } from '../../decisions/isZoneWatcher/index.js'
import { selectPeers } from './_lib/selectPeers.js'
import { createChunkFetcher } from './_lib/createChunkFetcher.js'
import { createConfigurationInstaller, type FetchedRoot, type ConfigurationInstaller } from './_lib/createConfigurationInstaller.js'
import { createPlatformWatch } from './_lib/createPlatformWatch.js'
import { createRootReader } from './_lib/createRootReader.js'
import { createInterruptibleDelay } from './_lib/createInterruptibleDelay.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, Configuration, ConfigurationHolder, ConfigurationRoot, Logger, Member, PeerTransport, Platform, RandomSource } from '../../types/index.js'

export type ConfigurationDependencies = {
  readonly platform: Platform
  readonly peerTransport: PeerTransport
  /** The known members. This node is ignored if it is among them. */
  readonly peers: () => readonly Member[]
  /** Calls the listener whenever a peer's state or generation may have changed. */
  readonly onPeerChange: (listener: () => void) => void
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  /** SHA-256 as hexadecimal digits. */
  readonly hashContent: (content: string | Uint8Array) => string
}

export type ConfigurationOptions = {
  readonly nodeId: string
  readonly availabilityZone: string
  readonly watchTimeoutMs: number
  readonly peerTimeoutMs: number
  /** Number of nodes per zone that hold a watch at the platform; the others get updates from them. 2 by default. */
  readonly watchersPerZone?: number
  /** Mean interval in milliseconds at which a node without a watch reads the root. A minute by default. */
  readonly pollIntervalMs?: number
  readonly minimumBackoffMs?: number
  readonly maximumBackoffMs?: number
  /** Fetches after a peer's update are spread over this time in milliseconds, so that more peers already have the chunks. */
  readonly fetchSpreadMs?: number
}

const DEFAULTS = {
  watchersPerZone: 2,
  pollIntervalMs: 60_000,
  minimumBackoffMs: 250,
  maximumBackoffMs: 2_000,
  fetchSpreadMs: 400
}

const MAXIMUM_REASON_LENGTH = 500

/**
 * Creates the holder of the configuration in force.
 *
 * It serves the root and the chunks to peers. `start` returns at once. Until the
 * first configuration is in force, `current()` is `undefined` and `pending()`
 * gives the reason, with generation 0 if no generation is known yet.
 *
 * @param dependencies - Platform, peers, clock, random source, logger and hash.
 * @param options - Name and zone of the node; times in milliseconds.
 * @returns The service for the kernel.
 *
 * @example
 * const { api, start } = createConfiguration(dependencies, { nodeId: 'router-1', availabilityZone: 'venkov-a', watchTimeoutMs: 30000, peerTimeoutMs: 500 })
 * await start?.()
 * api.generation() // => 0 until the first configuration was fetched
 */
export const createConfiguration = (dependencies: ConfigurationDependencies, options: ConfigurationOptions): RunningService<ConfigurationHolder> => {
  const { clock, random, logger, platform, peerTransport, peers } = dependencies
  const settings = { ...DEFAULTS, ...options }
  const listeners: ((configuration: Configuration) => void)[] = []
  const refreshDelay = createInterruptibleDelay(clock)
  const watchDelay = createInterruptibleDelay(clock)
  const reader = createRootReader(platform, peerTransport, settings.peerTimeoutMs)
  const installer = createConfigurationInstaller(createChunkFetcher(dependencies, settings))
  let platformRoot: FetchedRoot | undefined
  let divergence: string | undefined
  let problems: readonly string[] = []
  let running = false
  let isRefreshing = false
  let attemptedGeneration = 0

  const listOtherMembers = (): readonly Member[] => peers().filter(({ nodeId, state }) => nodeId !== settings.nodeId && state !== 'dead')
  const findHighestGeneration = (): number => Math.max(platformRoot?.root.generation ?? 0, ...listOtherMembers().map(({ generation }) => generation))
  const isRunning = (): boolean => running
  const isBehind = (): boolean => findHighestGeneration() > installer.generation()

  const install = async (found: FetchedRoot): Promise<readonly string[]> => {
    const outcome = await installer.install(found)
    if (!outcome.ok) return [outcome.error]
    if (outcome.value !== undefined) announce(outcome.value)
    return []
  }

  const announce = (configuration: Configuration): void => {
    const { generation, appliedBy, applyId } = configuration
    logger.info('configuration in force', { generation, appliedBy, applyId })
    for (const listener of listeners) listener(configuration)
  }

  /** Queries peers that have a higher generation, until this node has the highest known generation. */
  const installFromPeers = async (): Promise<readonly string[]> => {
    const found: string[] = []
    for (const peer of selectPeers(listOtherMembers(), installer.generation() + 1, settings, random)) {
      if (!isBehind()) return []
      const root = await reader.readFromPeer(peer)
      if (!root.ok) found.push(root.error)
      else if (root.value !== undefined) found.push(...await install(root.value))
    }
    return found
  }

  const installFromPlatform = async (): Promise<readonly string[]> => {
    const root = await reader.readFromPlatform()
    if (!root.ok) return [root.error]
    return root.value === undefined ? ['the platform has no root'] : install(root.value)
  }

  const attempt = async (): Promise<void> => {
    attemptedGeneration = findHighestGeneration()
    const found: string[] = platformRoot === undefined ? [] : [...await install(platformRoot)]
    if (isBehind()) found.push(...await installFromPeers())
    if (isBehind()) found.push(...await installFromPlatform())
    problems = found
  }

  const refresh = async (): Promise<void> => {
    if (isRefreshing) return
    isRefreshing = true
    for (let failures = 0; isRunning() && isBehind(); failures += 1) {
      if (failures > 0) await refreshDelay.wait(computeBackoff(failures, settings, random.next()))
      await attempt()
    }
    isRefreshing = false
  }

  /** A generation that the last attempt did not look for ends the backoff of the next retry. */
  const refreshIfBehind = (): void => {
    if (!running || !isBehind()) return
    if (isRefreshing && findHighestGeneration() > attemptedGeneration) refreshDelay.interrupt()
    refresh()
  }

  const onRoot = (found: FetchedRoot, generationBefore: number): void => {
    divergence = describeDivergence(found.root, generationBefore, installer)
    if (divergence !== undefined) logger.error(divergence, { generation: installer.generation() })
    if (found.root.generation <= (platformRoot?.root.generation ?? 0)) return
    platformRoot = found
    refreshIfBehind()
  }

  const watch = createPlatformWatch({
    platform,
    reader,
    clock,
    random,
    delay: watchDelay,
    isWatcher: () => isZoneWatcher(settings, listOtherMembers(), settings.watchersPerZone),
    isRunning,
    generation: installer.generation,
    onRoot
  }, settings)

  const readPending: ConfigurationHolder['pending'] = () => {
    const generation = findHighestGeneration()
    if (isBehind()) return { generation, reason: problems.length === 0 ? 'being fetched' : [...new Set(problems)].join('; ').slice(0, MAXIMUM_REASON_LENGTH) }
    if (installer.generation() === 0) return { generation: 0, reason: watch.state() }
    return divergence === undefined ? undefined : { generation: installer.generation(), reason: divergence }
  }

  peerTransport.handle('rootRequest', () => replyWith('root', 'root', installer.readRoot()))
  peerTransport.handle('chunkRequest', ({ hash }) => replyWith('chunk', 'bytes', installer.readChunk(hash)))
  dependencies.onPeerChange(() => {
    watch.reconsider()
    if (running && isBehind()) clock.setTimer(random.next() * settings.fetchSpreadMs, refreshIfBehind)
  })

  return {
    api: {
      current: installer.current,
      generation: installer.generation,
      onChange: (listener) => { listeners.push(listener) },
      pending: readPending
    },
    start: () => {
      running = true
      watch.run()
      refreshIfBehind()
    },
    stop: () => {
      running = false
      refreshDelay.stop()
      watchDelay.stop()
    }
  }
}

const replyWith = <Kind extends 'root' | 'chunk', Field extends string>(kind: Kind, field: Field, bytes: Uint8Array | undefined): { readonly kind: Kind } =>
  bytes === undefined ? { kind } : { kind, [field]: bytes }

/**
 * Describes a platform whose root conflicts with the generation in force. A
 * platform that was restored from a backup without the latest accepted root can
 * accept another one under the same or a lower generation. This node keeps its
 * configuration and reports the conflict; `sheet apply` then uses a generation
 * above the fleet's. A root is compared with the generation in force before it
 * was read, because a reply that was in transit while a peer sent a newer root is
 * only late.
 */
const describeDivergence = (root: ConfigurationRoot, generationBefore: number, installer: Pick<ConfigurationInstaller, 'generation' | 'applyId'>): string | undefined => {
  if (root.generation < generationBefore) return `the platform is back at generation ${root.generation}, below the one in force`
  if (root.generation !== installer.generation() || root.applyId === installer.applyId()) return undefined
  return `the platform has another configuration under generation ${root.generation}, applied by ${root.appliedBy}`
}
