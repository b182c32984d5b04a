/**
 * Knows at which software version a stream began that a caller takes up again, on any
 * node. A list of backend servers says what serves now, at its age, and a process knows
 * little of the time before it started: neither is a proof. What proves it is a record of
 * the stream, held by nodes and, while several versions serve, on the platform; or a
 * read of the platform's register, made since the stream is taken up, that has one
 * version only. What none of them proves is not guessed.
 */
import { askHolders, type HolderQuestion, type HolderReply } from './_lib/askHolders.js'
import { createBeginAnnouncer } from './_lib/createBeginAnnouncer.js'
import { createBeginJournal } from './_lib/createBeginJournal.js'
import { createBeginWaits } from './_lib/createBeginWaits.js'
import { createSightings } from './_lib/createSightings.js'
import { createStreamBegins } from './_lib/createStreamBegins.js'
import { createStreamHorizons } from './_lib/createStreamHorizons.js'
import type { ThrownReport } from '../_lib/containStep.js'
import { createVersionEnds } from './_lib/createVersionEnds.js'
import { findFirst } from './_lib/findFirst.js'
import { readSoftwareVersion } from '../../decisions/readSoftwareVersion/index.js'
import { selectHolders, type HolderOptions } from '../../decisions/selectHolders/index.js'
import { selectPlatformReaders } from '../../decisions/selectPlatformReaders/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, GatewayConfigurationHolder, GatewayRoute, InstanceRegistry, Logger, Member, Membership, PeerMessageOf, PeerReply, PeerTransport, RandomSource, ServiceVersion, StreamBegin, StreamBeginStore, Timer } from '../../types/index.js'
import { formatRouteKey, listStreamTargets, type RouteRegister } from '../routeRegister/index.js'
import type { VersionRegister } from '../versionRegister/index.js'

/** How a node came to know the version at which a stream began. */
export type VersionSource = 'own' | 'told' | 'peer' | 'stored' | 'register' | 'registerOfPeer'

export type BegunVersion =
  | ServiceVersion & { readonly kind: 'known', readonly source: VersionSource, readonly toldBy?: string }
  | { readonly kind: 'unknown', readonly asked: readonly string[], readonly versions: readonly string[] }

export type StreamRoute = Pick<GatewayRoute, 'host' | 'pathPrefix' | 'targets'>

export type StreamVersions = {
  /** Records that a stream of the service is sent to a server of this version, before its first event. */
  readonly recordBegin: (service: string, begin: StreamBegin) => void
  /**
   * Finds the service and version at which a stream of the route began, among the services to which the route leads;
   * `requestId` is that of the request that brought its first event, if the caller states it.
   */
  readonly find: (route: StreamRoute, requestId: string | undefined) => Promise<BegunVersion>
  /** Resolves once streams of the service that may be resumed can begin, or after a moment; `undefined` when there is nothing to wait for. */
  readonly waitToBegin: (service: string) => Promise<unknown> | undefined
  readonly countRecords: () => number
}

export type StreamVersionsDependencies = {
  readonly clock: Clock
  readonly random: Pick<RandomSource, 'next'>
  readonly logger: Pick<Logger, 'info' | 'warn'>
  readonly transport: Pick<PeerTransport, 'send' | 'handle' | 'request'>
  readonly membership: Pick<Membership, 'members' | 'self'>
  readonly registry: Pick<InstanceRegistry, 'all' | 'isKnown' | 'onChange'>
  readonly configuration: Pick<GatewayConfigurationHolder, 'current' | 'onChange'>
  readonly register: VersionRegister
  readonly routes: Pick<RouteRegister, 'readServices' | 'lastRead' | 'entering'>
  /** Omitted where the platform keeps no records of streams. */
  readonly beginStore?: StreamBeginStore | undefined
  /** Called with what a step throws that is tried again. */
  readonly onThrown?: ThrownReport
}

type KnownVersion = Extract<BegunVersion, { readonly kind: 'known' }>

/** What the registers say of a route: whether they could be read, and the only version if there is one. */
type Proof = { readonly isRead: boolean, readonly onlyVersion?: string }

/** More than were told, as nodes may have joined since. */
const ASKED_HOLDERS = 6
/** What has ended stays in the registers for up to this much longer than streams may be taken up, and proves nothing meanwhile: in milliseconds. */
const REGISTERED_LONGER_MS = 16_000
/** Time to wait for the platform, in milliseconds; one that is not cut off answers within a few. */
const PLATFORM_TIMEOUT_MS = 300
/** Time after the start in which what is unknown is looked up again, and the interval, in milliseconds. */
const STARTUP_MS = 1_500
const STARTUP_LOOKUP_INTERVAL_MS = 150
/** Interval at which a process tries to read the register that it has not read yet, in milliseconds. */
const FIRST_READ_INTERVAL_MS = 1_000
const MAXIMUM_RECORDS = 20_000
/** Records of streams are kept longer than any stream lasts, in milliseconds. */
const RECORD_LIFETIME_MS = 120_000

/**
 * Creates the service.
 *
 * @param dependencies - Clock, log, peers, the list of backend servers, the configuration, and what the platform keeps.
 * @returns The service for the kernel; it answers peers from its start.
 *
 * @example
 * const { api } = createStreamVersions(dependencies)
 * await api.find(route, 'r1') // => { kind: 'known', service: 'engines', softwareVersion: 'v1', source: 'register' }
 */
export const createStreamVersions = (dependencies: StreamVersionsDependencies): RunningService<StreamVersions> => {
  const { clock, random, logger, transport, membership, registry, configuration, register, routes, beginStore } = dependencies
  /** Versions by service, and services by route. */
  const versionSightings = createSightings(clock)
  const routeSightings = createSightings(clock)
  const readHorizonMs = createStreamHorizons(configuration)
  const bounds = { maximumRecords: MAXIMUM_RECORDS, lifetimeMs: RECORD_LIFETIME_MS }
  /** Streams that this node began, and those of which peers told. */
  const own = createStreamBegins(clock, bounds)
  const told = createStreamBegins(clock, bounds)
  const mixedServices = new Set<string>()
  const beginWaits = createBeginWaits({ clock, listInstances: registry.all })
  const startedAt = clock.now()
  let firstReadTimer: Timer | undefined

  const readMixedMs = (service: string): number => readHorizonMs(service) + REGISTERED_LONGER_MS

  const listVersions = (service: string): readonly string[] => versionSightings.list(service, readMixedMs(service))

  const isSelf = ({ nodeId }: Member): boolean => nodeId === membership.self().nodeId

  const listHolders = (requestId: string, options?: HolderOptions): readonly Member[] =>
    selectHolders(requestId, membership.members().filter(({ state }) => state !== 'dead'), options).filter((member) => !isSelf(member))

  const announcer = createBeginAnnouncer({ clock, transport, listHolders })
  const journal = beginStore === undefined ? undefined : createBeginJournal({ clock, logger, transport, membership, store: beginStore })

  const isReader = (): boolean => selectPlatformReaders(membership.self().availabilityZone, membership.members()).own.some(isSelf)

  const ends = createVersionEnds({ clock, random, register, isPresent: ({ service, softwareVersion }) => versionSightings.isPresent({ scope: service, value: softwareVersion }), isReader, readHorizonMs, onThrown: dependencies.onThrown })

  const tell = (service: string, begins: readonly StreamBegin[]): void => {
    if (begins.length === 0) return
    announcer.tell(service, begins)
    journal?.tell(service, begins)
  }

  /** Updates whether streams of several versions, or of a route's several services, may be taken up. Once that begins, tells what began before. */
  const updateMixed = (service: string): void => {
    const versions = listVersions(service)
    const isMixed = versions.length > 1 || routeSightings.isShared(service, readMixedMs(service))
    if (isMixed === mixedServices.has(service)) return
    logger.info('software versions changed', { service, versions: versions.join(' '), isMixed, ownStreams: own.size(), toldStreams: told.size() })
    if (!isMixed) {
      mixedServices.delete(service)
      return
    }
    mixedServices.add(service)
    tell(service, own.list(service, readHorizonMs(service)))
  }

  const updateAll = (): void => {
    versionSightings.takeOver((register.lastRead() ?? []).map(({ service, softwareVersion }) => ({ scope: service, value: softwareVersion })))
    routeSightings.takeOver(routes.lastRead().map(({ route, service }) => ({ scope: route, value: service })))
    const current = configuration.current()
    if (current !== undefined) routeSightings.update(listStreamTargets(current).map(({ route, service }) => ({ scope: route, value: service })))
    if (!registry.isKnown()) return
    beginWaits.update()
    versionSightings.update(registry.all().map((instance) => ({ scope: instance.service, value: readSoftwareVersion(instance) })))
    for (const service of new Set(registry.all().map((instance) => instance.service))) updateMixed(service)
    ends.update()
  }

  const findRecord = (service: string, requestId: string): KnownVersion | undefined => {
    const ownVersion = own.find(service, requestId)
    if (ownVersion !== undefined) return { kind: 'known', service, softwareVersion: ownVersion, source: 'own' }
    const toldVersion = told.find(service, requestId)
    return toldVersion === undefined ? undefined : { kind: 'known', service, softwareVersion: toldVersion, source: 'told' }
  }

  /** Reads the register after this call; `undefined` when it can't be read. */
  const readRegistered = async (service: string): Promise<readonly string[] | undefined> => {
    const entries = await register.read()
    if (!entries.ok) return undefined
    updateAll()
    return entries.value.filter((entry) => entry.service === service).map(({ softwareVersion }) => softwareVersion)
  }

  /** The only version at which a stream of the route can have begun, if the route has led to this service only; nothing else proves it. */
  const proveVersion = async (service: string, routeKey: string): Promise<Proof> => {
    const [versions, services] = await Promise.all([readRegistered(service), routes.readServices(routeKey)])
    const [onlyVersion] = versions?.length === 1 && services?.length === 1 && services[0] === service ? versions : []
    return { isRead: versions !== undefined && services !== undefined, ...(onlyVersion === undefined ? {} : { onlyVersion }) }
  }

  const limit = <Value>(promise: Promise<Value>): Promise<Value | undefined> => Promise.race([promise, pause(PLATFORM_TIMEOUT_MS)])

  const pause = (ms: number): Promise<undefined> => new Promise((resolve) => { clock.setTimer(ms, () => resolve(undefined)) })

  const readReply = ({ nodeId, service, reply }: HolderReply): KnownVersion | undefined => {
    if (reply.softwareVersion !== undefined) return { kind: 'known', service, softwareVersion: reply.softwareVersion, source: 'peer', toldBy: nodeId }
    return reply.provenVersion === undefined ? undefined : { kind: 'known', service, softwareVersion: reply.provenVersion, source: 'registerOfPeer', toldBy: nodeId }
  }

  const askPeers = (peers: readonly Member[], question: HolderQuestion): readonly Promise<KnownVersion | undefined>[] =>
    askHolders(transport, peers, question).map(async (asked) => {
      const reply = await asked
      return reply === undefined ? undefined : readReply(reply)
    })

  const findStored = async (service: string, requestId: string): Promise<KnownVersion | undefined> => {
    const softwareVersion = journal === undefined ? undefined : await limit(journal.find(service, requestId))
    return softwareVersion === undefined ? undefined : { kind: 'known', service, softwareVersion, source: 'stored' }
  }

  const describeUnknown = (services: readonly string[], asked: readonly Member[]): BegunVersion =>
    ({ kind: 'unknown', asked: asked.map(({ nodeId }) => nodeId), versions: services.flatMap(listVersions) })

  /** The platform's record of a stream that was sent twice may be of its first send when nodes know of the second: theirs counts. */
  const findRecorded = async (services: readonly string[], peers: readonly Member[], requestId: string): Promise<KnownVersion | undefined> => {
    const stored = findFirst(services.map((service) => findStored(service, requestId)))
    return await findFirst(services.flatMap((service) => askPeers(peers, { service, requestId }))) ?? await stored
  }

  const findElsewhere = async (route: StreamRoute, services: readonly string[], requestId: string | undefined): Promise<BegunVersion> => {
    const routeKey = formatRouteKey(route)
    const peers = listHolders(requestId ?? '', { holders: ASKED_HOLDERS })
    const records = requestId === undefined ? [] : [findRecorded(services, peers, requestId)]
    const [service] = services
    // A route that is split proves nothing, however few versions there are.
    if (service === undefined || services.length > 1) return await findFirst(records) ?? describeUnknown(services, peers)
    const proving = limit(proveVersion(service, routeKey))
    const proven = proving.then((proof): KnownVersion | undefined => proof?.onlyVersion === undefined ? undefined : { kind: 'known', service, softwareVersion: proof.onlyVersion, source: 'register' })
    const found = await findFirst([proven, ...records])
    if (found !== undefined) return found
    const isRead = (await proving)?.isRead === true
    const provenByPeer = isRead ? undefined : await findFirst(askPeers(peers, { service, requestId: requestId ?? '', routeKey }))
    return provenByPeer ?? describeUnknown(services, peers)
  }

  /** A process that has just started knows few peers yet: it looks again until it knows more. */
  const find: StreamVersions['find'] = async (route, requestId) => {
    const services = [...new Set(route.targets.filter(({ weight }) => weight > 0).map((target) => target.service))]
    const records = requestId === undefined ? [] : services.flatMap((service) => findRecord(service, requestId) ?? [])
    const found = records[0] ?? await findElsewhere(route, services, requestId)
    if (found.kind === 'known' || clock.now() - startedAt >= STARTUP_MS) return found
    await pause(STARTUP_LOOKUP_INTERVAL_MS)
    return await find(route, requestId)
  }

  const answerHolder = async ({ service, requestId, routeKey }: PeerMessageOf<'streamBeginRequest'>): Promise<PeerReply> => {
    const record = findRecord(service, requestId)
    if (record !== undefined) return { kind: 'streamBegin', softwareVersion: record.softwareVersion }
    const provenVersion = routeKey === undefined ? undefined : (await proveVersion(service, routeKey)).onlyVersion
    return provenVersion === undefined ? { kind: 'streamBegin' } : { kind: 'streamBegin', provenVersion }
  }

  /** A process that has read nothing yet must take it that several versions serve. */
  const readFirst = async (): Promise<void> => {
    if (register.lastRead() === undefined) await register.read()
    if (register.lastRead() === undefined) firstReadTimer = clock.setTimer(FIRST_READ_INTERVAL_MS, readFirst)
    else updateAll()
  }

  registry.onChange(updateAll)
  configuration.onChange(updateAll)

  return {
    api: {
      recordBegin: (service, begin) => {
        own.record(service, begin)
        if (mixedServices.has(service)) updateMixed(service)
        else if (register.lastRead() !== undefined) return
        tell(service, [begin])
      },
      find,
      waitToBegin: (service) => {
        const [entering, waiting] = [routes.entering(), beginWaits.wait(service)]
        return entering === undefined && waiting === undefined ? undefined : Promise.all([entering, waiting])
      },
      countRecords: () => own.size() + told.size()
    },
    start: () => {
      transport.handle('streamBegins', ({ service, begins }) => {
        for (const begin of begins) told.record(service, begin)
        return { kind: 'none' }
      })
      // Nodes of the release before ask for it; what they would conclude from it is no proof.
      transport.handle('versionHistoryRequest', () => ({ kind: 'versionHistory', knownForMs: 0, versions: [] }))
      transport.handle('streamBeginRequest', answerHolder)
      journal?.start()
      readFirst()
    },
    stop: () => {
      announcer.stop()
      journal?.stop()
      ends.stop()
      firstReadTimer?.cancel()
    }
  }
}
