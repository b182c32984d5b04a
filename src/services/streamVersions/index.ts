/**
 * Knows at which software version a stream began that a caller takes up again, on any
 * node. While one version serves, that is the one. As soon as a second one serves, each
 * node tells a few others, in several availability zones, at which version its streams
 * began: those of the last moments at once, new ones before their first event. So does
 * a process that started lately, until it has taken over from a peer which versions
 * served before. A node that takes a stream up asks them. What none of them knows is not
 * guessed.
 */
import { askHolders } from './_lib/askHolders.js'
import { createBeginAnnouncer } from './_lib/createBeginAnnouncer.js'
import { createHistoryLearner } from './_lib/createHistoryLearner.js'
import { createStreamBegins } from './_lib/createStreamBegins.js'
import { createVersionSightings } from './_lib/createVersionSightings.js'
import { selectHolders, type HolderOptions } from '../../decisions/selectHolders/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, GatewayConfiguration, GatewayConfigurationHolder, InstanceRegistry, Logger, Member, Membership, PeerTransport, StreamBegin } from '../../types/index.js'

/** How a node came to know the version at which a stream began. */
export type VersionSource = 'own' | 'told' | 'peer' | 'onlyVersion' | 'onlyVersionOfPeer' | 'onlyVersionOfOldServers'

export type BegunVersion =
  | { readonly kind: 'known', readonly softwareVersion: string, readonly source: VersionSource, readonly toldBy?: string }
  | { readonly kind: 'unknown', readonly asked: readonly string[], readonly versions: readonly string[] }

export type StreamVersions = {
  /** Records that a stream of the service is sent to a server of this version, before its first event. */
  readonly recordBegin: (service: string, begin: StreamBegin) => void
  /** Finds the version at which a stream began; `requestId` is that of the request that brought its first event, if the caller states it. */
  readonly find: (service: string, requestId: string | undefined) => Promise<BegunVersion>
  readonly countRecords: () => number
}

export type StreamVersionsDependencies = {
  readonly clock: Clock
  readonly logger: Pick<Logger, 'info'>
  readonly transport: Pick<PeerTransport, 'send' | 'handle' | 'request'>
  readonly membership: Pick<Membership, 'members' | 'liveMembers' | 'self'>
  readonly registry: Pick<InstanceRegistry, 'all' | 'isKnown' | 'onChange'>
  readonly configuration: Pick<GatewayConfigurationHolder, 'current'>
}

export type StreamVersionsOptions = {
  /** Whether the fleet starts for the first time, so that no stream began before this process. */
  readonly isFirstStart: boolean
}

/** Beyond its last try a stream may be taken up for this long, in milliseconds, as views of the list differ by about a second. */
const HORIZON_MARGIN_MS = 5_000
/** Longest route timeout that counts without a configuration, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 15_000
/** More than were told, as nodes may have joined since. */
const ASKED_HOLDERS = 6
/** Time after the start in which what is unknown is looked up again, and the interval, in milliseconds. */
const STARTUP_MS = 1_500
const STARTUP_LOOKUP_INTERVAL_MS = 150
const MAXIMUM_RECORDS = 20_000
/** Records of streams are kept longer than any stream lasts, in milliseconds. */
const RECORD_LIFETIME_MS = 120_000

/**
 * Creates the service.
 *
 * @param dependencies - Clock, log, peers, the list of backend servers and the configuration.
 * @param options - Whether the fleet starts for the first time.
 * @returns The service for the kernel; it answers peers from its start.
 *
 * @example
 * const { api } = createStreamVersions(dependencies, { isFirstStart: false })
 * await api.find('engines', 'r1') // => { kind: 'known', softwareVersion: 'v1', source: 'onlyVersion' }
 */
export const createStreamVersions = (dependencies: StreamVersionsDependencies, { isFirstStart }: StreamVersionsOptions): RunningService<StreamVersions> => {
  const { clock, logger, transport, membership, registry, configuration } = dependencies
  const sightings = createVersionSightings(dependencies, { isFirstStart })
  const bounds = { maximumRecords: MAXIMUM_RECORDS, lifetimeMs: RECORD_LIFETIME_MS }
  /** Streams that this node began, and those of which peers told. */
  const own = createStreamBegins(clock, bounds)
  const told = createStreamBegins(clock, bounds)
  const mixedServices = new Set<string>()
  const startedAt = clock.now()
  let horizons: { readonly configuration: GatewayConfiguration | undefined, readonly byService: Map<string, number> } = { configuration: undefined, byService: new Map() }

  const computeHorizonMs = (service: string): number => {
    const timeouts = (configuration.current()?.routes ?? [])
      .filter(({ retryPolicy, targets }) => retryPolicy === 'stream' && targets.some((target) => target.service === service))
      .map(({ timeoutMs }) => timeoutMs)
    return HORIZON_MARGIN_MS + (timeouts.length > 0 ? Math.max(...timeouts) : DEFAULT_TIMEOUT_MS)
  }

  /** For how long a stream of the service may be taken up after it began, in milliseconds; kept until the configuration changes. */
  const readHorizonMs = (service: string): number => {
    const current = configuration.current()
    if (current !== horizons.configuration) horizons = { configuration: current, byService: new Map() }
    const known = horizons.byService.get(service) ?? computeHorizonMs(service)
    horizons.byService.set(service, known)
    return known
  }

  const listVersions = (service: string): readonly string[] => sightings.list(service, readHorizonMs(service))

  /** Whether this process has known the servers since before any stream began that may be taken up. */
  const hasSeenAll = (service: string): boolean => sightings.knownForMs() >= readHorizonMs(service)

  /** The version of every stream that may be taken up, where only one has served for long enough. */
  const readOnlyVersion = (service: string): string | undefined => {
    const versions = listVersions(service)
    return versions.length === 1 && hasSeenAll(service) ? versions[0] : undefined
  }

  /**
   * The same in a process that started lately, where no peer knows more: servers of a new
   * version start before those of the one before it leave, so that with old servers only
   * no version left a moment ago.
   */
  const readVersionOfOldServers = (service: string): string | undefined => {
    const versions = listVersions(service)
    const startedBefore = clock.wallTime() - readHorizonMs(service)
    const isOld = registry.all().every((instance) => instance.service !== service || instance.incarnation < startedBefore)
    return versions.length === 1 && isOld ? versions[0] : undefined
  }

  const isSelf = ({ nodeId }: Member): boolean => nodeId === membership.self().nodeId

  const listHolders = (requestId: string, options?: HolderOptions): readonly Member[] =>
    selectHolders(requestId, membership.members().filter(({ state }) => state !== 'dead'), options).filter((member) => !isSelf(member))

  const announcer = createBeginAnnouncer({ clock, transport, listHolders })

  /** Updates whether streams of several versions may be taken up. Once that begins, tells what began before. */
  const updateMixed = (service: string): void => {
    const versions = listVersions(service)
    const isMixed = versions.length > 1
    if (isMixed === mixedServices.has(service)) return
    logger.info('software versions changed', { service, versions: versions.join(' '), isMixed, ownStreams: own.size(), toldStreams: told.size() })
    if (!isMixed) {
      mixedServices.delete(service)
      return
    }
    mixedServices.add(service)
    announcer.tell(service, own.list(service, readHorizonMs(service)))
  }

  const onListChange = (): void => {
    sightings.update()
    for (const service of new Set(registry.all().map((instance) => instance.service))) updateMixed(service)
  }

  const findLocally = (service: string, requestId: string | undefined): BegunVersion | undefined => {
    const ownVersion = requestId === undefined ? undefined : own.find(service, requestId)
    if (ownVersion !== undefined) return { kind: 'known', softwareVersion: ownVersion, source: 'own' }
    const toldVersion = requestId === undefined ? undefined : told.find(service, requestId)
    if (toldVersion !== undefined) return { kind: 'known', softwareVersion: toldVersion, source: 'told' }
    const onlyVersion = readOnlyVersion(service)
    return onlyVersion === undefined ? undefined : { kind: 'known', softwareVersion: onlyVersion, source: 'onlyVersion' }
  }

  const findAtPeers = async (service: string, requestId: string): Promise<BegunVersion> => {
    const peers = listHolders(requestId, { holders: ASKED_HOLDERS })
    const replies = await askHolders(transport, peers, service, requestId)
    const record = replies.find(({ reply }) => reply.softwareVersion !== undefined)
    if (record?.reply.softwareVersion !== undefined) return { kind: 'known', softwareVersion: record.reply.softwareVersion, source: 'peer', toldBy: record.nodeId }
    const only = replies.find(({ reply }) => reply.onlyVersion !== undefined)
    if (only?.reply.onlyVersion !== undefined) return { kind: 'known', softwareVersion: only.reply.onlyVersion, source: 'onlyVersionOfPeer', toldBy: only.nodeId }
    const ofOldServers = readVersionOfOldServers(service)
    if (ofOldServers !== undefined) return { kind: 'known', softwareVersion: ofOldServers, source: 'onlyVersionOfOldServers' }
    return { kind: 'unknown', asked: peers.map(({ nodeId }) => nodeId), versions: listVersions(service) }
  }

  const pause = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

  /** A process that has just started knows few peers yet: it looks again until it knows more. */
  const find: StreamVersions['find'] = async (service, requestId) => {
    const found = findLocally(service, requestId) ?? await findAtPeers(service, requestId ?? '')
    if (found.kind === 'known' || clock.now() - startedAt >= STARTUP_MS) return found
    await pause(STARTUP_LOOKUP_INTERVAL_MS)
    return await find(service, requestId)
  }

  const historyLearner = createHistoryLearner({ clock, transport, membership, registry, sightings, onLearnt: onListChange })

  registry.onChange(onListChange)

  return {
    api: {
      recordBegin: (service, begin) => {
        own.record(service, begin)
        if (mixedServices.has(service)) updateMixed(service)
        // Peers that started lately too could not conclude the version from the list.
        else if (hasSeenAll(service)) return
        announcer.tell(service, [begin])
      },
      find,
      countRecords: () => own.size() + told.size()
    },
    start: () => {
      transport.handle('streamBegins', ({ service, begins }) => {
        for (const begin of begins) told.record(service, begin)
        return { kind: 'none' }
      })
      transport.handle('versionHistoryRequest', () => ({ kind: 'versionHistory', knownForMs: sightings.knownForMs(), versions: sightings.listAll() }))
      transport.handle('streamBeginRequest', ({ service, requestId }) => {
        const found = findLocally(service, requestId)
        if (found?.kind !== 'known') return { kind: 'streamBegin' }
        return found.source === 'onlyVersion' ? { kind: 'streamBegin', onlyVersion: found.softwareVersion } : { kind: 'streamBegin', softwareVersion: found.softwareVersion }
      })
      historyLearner.start()
    },
    stop: () => {
      announcer.stop()
      historyLearner.stop()
    }
  }
}
