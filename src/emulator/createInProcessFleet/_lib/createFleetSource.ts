/**
 * Emulated source of configuration, backend servers and zone drains for a fleet
 * on a manual clock. It records which version was the newest at every time, and
 * can be made unreachable for single nodes.
 */
import { failure, success } from '../../../kernel/index.js'
import type {
  BackendInstance, Clock, ConfigurationRecords, ConfigurationSource, GatewayConfiguration, InstanceSource, Result, SourcedConfiguration, SourceError, ZoneDrainChange, ZoneDrainSource
} from '../../../types/index.js'

export type FleetSource = {
  /** Creates the connections of one node to the source. */
  readonly connect: (node: number) => {
    readonly configurationSource: ConfigurationSource
    readonly instanceSource: InstanceSource
    readonly zoneDrainSource: ZoneDrainSource
  }
  readonly applyVersion: () => void
  readonly putInstance: (id: string, changes?: Partial<BackendInstance>) => void
  readonly removeInstance: (id: string) => void
  readonly beginDrain: (zone: string) => void
  readonly endDrain: (zone: string) => void
  /** The version that was the newest at a time of the clock. */
  readonly getNewestVersion: (at: number) => number
  /** Makes the connections of a node's waiting watches silent: these watches fail by their time-out, new calls work. */
  readonly silenceWatches: (node: number) => void
  /** Makes the lists of backend servers and zone drains unreadable for a node; it still reads the configuration. */
  readonly setListsReadable: (node: number, areReadable: boolean) => void
  readonly setReachable: (node: number, isReachable: boolean) => void
  readonly countCalls: () => number
}

/** Poll interval of a waiting watch, in milliseconds. */
const WATCH_POLL_INTERVAL_MS = 10
/** Duration of a call, in milliseconds. */
const SOURCE_DELAY_MS = 4
/** Added to the wait of a watch to get its time-out, in milliseconds. */
const WATCH_MARGIN_MS = 500
/** Time after which a call from a node that cannot reach the source fails, in milliseconds. */
const UNREACHABLE_TIMEOUT_MS = 500

const createConfiguration = (version: number, changes: Partial<GatewayConfiguration>): GatewayConfiguration => ({
  routes: [],
  services: new Map(),
  limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  needsKeys: false,
  accountsByKey: new Map(),
  ...changes,
  version
})

type RouteRecord = { readonly name: string, readonly host: string, readonly version: number }

const createRoute = (index: number, version: number): RouteRecord => ({ name: `route-${index}`, host: `${index}.shop.example`, version })

/** Creates configurations whose unchanged records are the same objects from one version to the next, as those of a real source are. */
const createConfigurationCodec = (routes: number, changes: Partial<GatewayConfiguration>) => {
  const internedRoutes = new Map<string, RouteRecord>()

  const intern = (record: RouteRecord): RouteRecord => {
    const key = `${record.name} ${record.version}`
    const earlier = internedRoutes.get(key) ?? record
    internedRoutes.set(key, earlier)
    return earlier
  }

  const listRoutes = (version: number): readonly RouteRecord[] =>
    Array.from({ length: routes }, (_, index) => intern(createRoute(index, index === routes - 1 ? version : 0)))

  return {
    read: (version: number): SourcedConfiguration => ({ configuration: createConfiguration(version, changes), records: { rest: [version], routes: listRoutes(version) }, revision: version }),
    decode: (records: ConfigurationRecords, revision: number): SourcedConfiguration =>
      ({ configuration: createConfiguration(Number(records['rest']?.[0]), changes), records: { ...records, routes: (records['routes'] as readonly RouteRecord[]).map(intern) }, revision })
  }
}

const createInstance = (id: string, changes: Partial<BackendInstance>): BackendInstance => ({
  id, service: 'engines', address: { host: '10.0.0.1', port: 1 }, availabilityZone: 'zone-0', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0, ...changes
})

const wait = (clock: Clock, ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

type Change<Value> = { readonly revision: number, readonly value: Value }

/** Creates the source; `routes` is the number of route records in each configuration, `changes` are the other parts of the configuration. */
export const createFleetSource = (clock: Clock, routes: number, changes: Partial<GatewayConfiguration> = {}): FleetSource => {
  const versions: { readonly at: number, readonly version: number }[] = [{ at: -Infinity, version: 1 }]
  const instances = new Map<string, BackendInstance>()
  const instanceChanges: Change<string>[] = []
  const drained = new Set<string>()
  const drainChanges: Change<ZoneDrainChange>[] = []
  const unreachableNodes = new Set<number>()
  const nodesWithoutLists = new Set<number>()
  /** How often the waiting watches of a node have gone silent. */
  const silences = new Map<number, number>()
  let revision = 1
  let calls = 0

  const getNewestVersion = (at: number): number => versions.findLast((entry) => entry.at <= at)?.version ?? 0

  const recordChange = <Value>(changes: Change<Value>[], value: Value): void => {
    revision += 1
    changes.push({ revision, value })
  }

  const failAsUnreachable = async (): Promise<Result<never, SourceError>> => {
    await wait(clock, UNREACHABLE_TIMEOUT_MS)
    return failure({ kind: 'unavailable', message: 'the node is cut off from the source' })
  }

  /** A reply contains the state of the source at half of the call duration. */
  const call = async <Value>(node: number, read: () => Value): Promise<Result<Value, SourceError>> => {
    calls += 1
    await wait(clock, SOURCE_DELAY_MS / 2)
    if (unreachableNodes.has(node)) return failAsUnreachable()
    const value = read()
    await wait(clock, SOURCE_DELAY_MS / 2)
    return success(value)
  }

  const callList = async <Value>(node: number, read: () => Value): Promise<Result<Value, SourceError>> =>
    nodesWithoutLists.has(node) ? failAsUnreachable() : call(node, read)

  /** Waits until a change after revision `since`, or for `waitMs`. */
  const watch = async <Value>(node: number, changes: readonly Change<Value>[], since: number, waitMs: number): Promise<Result<readonly Value[], SourceError>> => {
    const endsAt = clock.now() + waitMs
    calls += 1
    const listNew = (): readonly Value[] => changes.filter((change) => change.revision > since).map(({ value }) => value)
    const silencesBefore = silences.get(node)
    const isSilent = (): boolean => silences.get(node) !== silencesBefore
    while (clock.now() < endsAt && !unreachableNodes.has(node) && (isSilent() || listNew().length === 0)) await wait(clock, WATCH_POLL_INTERVAL_MS)
    if (nodesWithoutLists.has(node)) return failAsUnreachable()
    if (isSilent()) {
      await wait(clock, WATCH_MARGIN_MS)
      return failure({ kind: 'unavailable', message: 'no reply', isConnectionSuspect: true })
    }
    return unreachableNodes.has(node) ? failAsUnreachable() : success(listNew())
  }

  const createConfigurationSource = (node: number): ConfigurationSource => {
    const codec = createConfigurationCodec(routes, changes)
    return {
      read: () => call(node, () => codec.read(getNewestVersion(clock.now()))),
      decode: (records, configurationRevision) => success(codec.decode(records, configurationRevision))
    }
  }

  const describeInstance = (name: string) => {
    const instance = instances.get(name)
    return instance === undefined ? { name, isRemoved: true } : { name, isRemoved: false, instance }
  }

  const createInstanceSource = (node: number): InstanceSource => ({
    list: () => callList(node, () => ({ entries: [...instances.values()].map((instance) => ({ name: instance.id, instance })), revision })),
    watch: async (since, waitMs) => {
      const changed = await watch(node, instanceChanges, since, waitMs)
      return changed.ok ? success({ changes: [...new Set(changed.value)].map(describeInstance), revision }) : changed
    }
  })

  const createZoneDrainSource = (node: number): ZoneDrainSource => ({
    list: () => callList(node, () => ({ zones: [...drained], revision })),
    watch: async (since, waitMs) => {
      const changed = await watch(node, drainChanges, since, waitMs)
      return changed.ok ? success({ changes: changed.value, revision }) : changed
    }
  })

  return {
    connect: (node) => ({
      configurationSource: createConfigurationSource(node),
      instanceSource: createInstanceSource(node),
      zoneDrainSource: createZoneDrainSource(node)
    }),
    applyVersion: () => { versions.push({ at: clock.now(), version: getNewestVersion(clock.now()) + 3 }) },
    putInstance: (id, changes = {}) => {
      instances.set(id, createInstance(id, changes))
      recordChange(instanceChanges, id)
    },
    removeInstance: (id) => {
      instances.delete(id)
      recordChange(instanceChanges, id)
    },
    beginDrain: (zone) => {
      drained.add(zone)
      recordChange(drainChanges, { zone, isEnded: false })
    },
    endDrain: (zone) => {
      drained.delete(zone)
      recordChange(drainChanges, { zone, isEnded: true })
    },
    getNewestVersion,
    setListsReadable: (node, areReadable) => {
      if (areReadable) nodesWithoutLists.delete(node)
      else nodesWithoutLists.add(node)
    },
    silenceWatches: (node) => { silences.set(node, (silences.get(node) ?? 0) + 1) },
    setReachable: (node, isReachable) => {
      if (isReachable) unreachableNodes.delete(node)
      else unreachableNodes.add(node)
    },
    countCalls: () => calls
  }
}
