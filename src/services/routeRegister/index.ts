/**
 * Keeps on the platform to which services the routes of streams lead, and led lately: a
 * stream that is taken up may have begun at a service to which its route leads no more,
 * and the newest configuration says nothing of the one before. A target is entered before
 * the configuration that leads there is in force on this node, and removed long after. The
 * first configuration of a process is in force at once: only streams wait for the register.
 */
import { createFreshRead } from '../_lib/createFreshRead.js'
import { createRecentRead } from '../_lib/createRecentRead.js'
import { containRead } from '../_lib/containRead.js'
import { describeSourceError } from '../../decisions/describeSourceError/index.js'
import { isStreamToResume } from '../../decisions/isStreamToResume/index.js'
import { updateRouteTargets } from '../../decisions/updateRouteTargets/index.js'
import { computeSha256, failure } from '../../kernel/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, ConfigurationSource, GatewayConfiguration, GatewayRoute, Logger, RandomSource, RegisteredTarget, Result, RouteTarget, RouteTargetStore, SourceError, StoredTargets, Timer } from '../../types/index.js'

export type RouteRegister = {
  /** Reads, after this call, to which services the route leads or led lately; `undefined` when that can't be read. */
  readonly readServices: (routeKey: string) => Promise<readonly string[] | undefined>
  /** The targets as last read; none before. */
  readonly lastRead: () => readonly RegisteredTarget[]
  /** Resolves once the targets of the process's first configuration are entered, or after a moment; `undefined` when there is nothing to wait for. */
  readonly entering: () => Promise<unknown> | undefined
  /** The source, whose configurations are returned once their targets are entered. */
  readonly wrap: (source: ConfigurationSource) => ConfigurationSource
}

export type RouteRegisterDependencies = {
  readonly clock: Clock
  readonly random: Pick<RandomSource, 'next'>
  readonly logger: Pick<Logger, 'warn'>
  /** Omitted where the platform keeps none: then nothing is proved, and no configuration waits for it. */
  readonly store?: RouteTargetStore | undefined
}

export type RouteRegisterOptions = {
  /** Whether this node reads the platform for its zone: its configuration is the newest there is. */
  readonly isReader: () => boolean
}

/** A configuration is put in force though its targets can't be entered for this long, in milliseconds: keys that it revokes must not wait. */
const ENTER_TIMEOUT_MS = 300
/** Other nodes write at the same moment; each conflict is settled by one more read. */
const MAXIMUM_ATTEMPTS = 4
/** Beyond the longest timeout of a route of streams: callers' last tries, and nodes whose configuration is late. In milliseconds. */
const RETENTION_MARGIN_MS = 15_000
const SPREAD_MS = 2_000
const KEY_LENGTH = 16

/** The key of a route in the register. */
export const formatRouteKey = ({ host, pathPrefix }: Pick<GatewayRoute, 'host' | 'pathPrefix'>): string => computeSha256(JSON.stringify([host, pathPrefix])).slice(0, KEY_LENGTH)

/** The services to which routes of streams that can be taken up lead. */
export const listStreamTargets = ({ routes }: GatewayConfiguration): readonly RouteTarget[] =>
  routes.filter(isStreamToResume).flatMap((route) => route.targets.filter(({ weight }) => weight > 0).map(({ service }) => ({ route: formatRouteKey(route), service })))

const computeRetentionMs = ({ routes }: GatewayConfiguration): number => RETENTION_MARGIN_MS + Math.max(0, ...routes.filter(isStreamToResume).map(({ timeoutMs }) => timeoutMs))

/**
 * Creates the register.
 *
 * @param dependencies - Clock, random source, log and the platform's store.
 * @param options - Whether this node is a reader.
 * @returns The service for the kernel.
 *
 * @example
 * const { api } = createRouteRegister({ clock, random, logger, store }, { isReader: () => true })
 * await api.readServices(formatRouteKey(route)) // => ['engines']
 */
export const createRouteRegister = ({ clock, random, logger, store }: RouteRegisterDependencies, { isReader }: RouteRegisterOptions): RunningService<RouteRegister> => {
  /** Monotonic milliseconds since which ended targets are known, by route, service and mark. */
  const endedSince = new Map<string, number>()
  let current: GatewayConfiguration | undefined
  /** The last configuration whose targets are in the register. */
  let entered: GatewayConfiguration | undefined
  let lastTargets: readonly RegisteredTarget[] = []
  let retentionMs = RETENTION_MARGIN_MS
  let timer: Timer | undefined
  let running: { readonly configuration: GatewayConfiguration, readonly entering: Promise<void> } | undefined
  let firstEntering: Promise<void> | undefined

  const formatKey = ({ route, service, endMark }: RegisteredTarget): string => JSON.stringify([route, service, endMark])

  const { startRead: readStored, recent } = createRecentRead(clock, createFreshRead(async (): Promise<Result<StoredTargets | undefined, SourceError>> => {
    if (store === undefined) return failure({ kind: 'unavailable', message: 'the platform keeps no register of routes' })
    const stored = await containRead(store.read)
    if (!stored.ok) logger.warn('route targets not read', { reason: describeSourceError(stored.error) })
    else lastTargets = stored.value?.targets ?? []
    return stored
  }))

  const recordEnded = (targets: readonly RegisteredTarget[]): void => {
    const ended = targets.filter(({ endMark }) => endMark !== '')
    const keys = new Set(ended.map(formatKey))
    for (const key of endedSince.keys()) if (!keys.has(key)) endedSince.delete(key)
    for (const key of keys) if (!endedSince.has(key)) endedSince.set(key, clock.now())
    if (ended.length > 0) timer ??= clock.setTimer(retentionMs + SPREAD_MS * random.next(), removeEnded)
  }

  const recordEntered = (configuration: GatewayConfiguration, targets: readonly RegisteredTarget[]): void => {
    entered = configuration
    recordEnded(targets)
  }

  const isExpired = (target: RegisteredTarget): boolean => (endedSince.get(formatKey(target)) ?? Infinity) <= clock.now() - retentionMs

  /** Writes what the configuration changes. Where that fails, the next read of the configuration tries again. */
  const enter = async (configuration: GatewayConfiguration): Promise<void> => {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      const stored = attempt === 0 ? await recent.read() : await readStored()
      if (!stored.ok || store === undefined) return
      const before = stored.value?.targets ?? []
      const endMark = isReader() ? `${configuration.version} ${random.next()}` : ''
      const targets = updateRouteTargets(before, listStreamTargets(configuration), { endMark, isExpired })
      if (targets === before) return recordEntered(configuration, before)
      recent.forget()
      const written = await containRead(() => store.write(targets, stored.value?.revision))
      if (!written.ok) return logger.warn('route targets not written', { version: configuration.version, reason: describeSourceError(written.error) })
      if (written.value.kind === 'written') return recordEntered(configuration, targets)
    }
  }

  const removeEnded = async (): Promise<void> => {
    timer = undefined
    if (current !== undefined && isReader()) await enter(current)
    if (endedSince.size > 0) timer ??= clock.setTimer(retentionMs, removeEnded)
  }

  /** Enters the newest configuration; one run at a time for each, however often it is read. */
  const enterCurrent = (configuration: GatewayConfiguration): Promise<void> => {
    if (running?.configuration !== configuration) {
      const entering = enter(configuration).finally(() => { if (running?.configuration === configuration) running = undefined })
      running = { configuration, entering }
    }
    return running.entering
  }

  const pause = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

  return {
    api: {
      readServices: async (routeKey) => {
        const stored = await readStored()
        return stored.ok ? (stored.value?.targets ?? []).filter(({ route }) => route === routeKey).map(({ service }) => service) : undefined
      },
      lastRead: () => lastTargets,
      entering: () => firstEntering,
      wrap: (source) => store === undefined
        ? source
        : {
            ...source,
            read: async () => {
              const result = await source.read()
              if (!result.ok || result.value.configuration === entered) return result
              const before = current
              current = result.value.configuration
              retentionMs = Math.max(retentionMs, computeRetentionMs(current))
              const entering = Promise.race([enterCurrent(current), pause(ENTER_TIMEOUT_MS)])
              if (before === undefined) firstEntering = entering.finally(() => { firstEntering = undefined })
              // One that is in force already is entered beside its confirmation.
              else if (before !== current) await entering
              return result
            }
          }
    },
    start: () => { if (store !== undefined) readStored() },
    stop: () => timer?.cancel()
  }
}
