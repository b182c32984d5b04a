/** Selects the backend server for the next attempt of a request: gathers the state of the node and calls `selectPlacement`. */
import { computeLoadBound, defaultPlacementWeights, isUnderLoadBound, selectPlacement } from '../../../decisions/selectPlacement/index.js'
import type { CandidateWork, InstanceCandidate, PlacementWeights, PromptCopySource } from '../../../decisions/selectPlacement/index.js'
import { computeCountSurvival } from '../../../decisions/computeCountSurvival/index.js'
import { checkInstanceEligibility } from '../../../decisions/checkInstanceEligibility/index.js'
import type { InstanceEligibility } from '../../../decisions/checkInstanceEligibility/index.js'
import { listSharedParts } from '../../../decisions/listSharedParts/index.js'
import { selectIneligibility } from '../../../decisions/selectIneligibility/index.js'
import type { BackendInstance, GatewayRequest, InstanceClient, LoadSource } from '../../../types/index.js'
import { readSoftwareVersion } from '../../../decisions/readSoftwareVersion/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import { countSentTokens } from '../../serverWork/index.js'
import type { StatedSlowdown } from '../../serverWork/index.js'
import type { ForwardingDependencies } from '../index.js'

export type SelectionDependencies = Pick<ForwardingDependencies, 'registry' | 'health' | 'notices' | 'directory' | 'loadView' | 'random' | 'zoneDrains' | 'warmUp' | 'refusals' | 'work'> & {
  readonly configuration: Pick<ForwardingDependencies['configuration'], 'current'>
  /** Knows which backend servers don't take the bodies of requests. */
  readonly client?: Pick<InstanceClient, 'isReadingSlowly'>
  readonly availabilityZone: string
  /** Region of each availability zone, for requests that are restricted to regions. */
  readonly regionByZone: ReadonlyMap<string, string>
  readonly readLoadFactor: () => number
}

export type SelectionInput = {
  readonly request: GatewayRequest
  readonly service: string
  readonly bodyBytes: number
  /** Ids of backend servers to which the request was already sent. */
  readonly tried: ReadonlySet<string>
  /** Lists of allowed regions; the request must satisfy each of them. */
  readonly allowedRegions: readonly (readonly string[])[]
  /** Software version at which the stream must go on; omitted while it may begin anywhere. */
  readonly softwareVersion?: string | undefined
  /** Whether a stream that may be resumed begins: not at a server whose software version is not registered. */
  readonly mustBeRegistered?: boolean
}

/** Average size in bytes of a non-streaming answer, and of one token in a stream, headers included. */
const PLAIN_ANSWER_BYTES = 1_200
const BYTES_PER_TOKEN = 30

/** Fraction of the configured load factor that placement uses, as a margin for requests on their way. */
const LOAD_FACTOR_SHARE = 0.96

/** Servers of the service that may get the request by their software version. */
const listOfVersion = ({ registry }: SelectionDependencies, { service, softwareVersion, mustBeRegistered }: SelectionInput): readonly BackendInstance[] => {
  const instances = registry.list(service)
  if (softwareVersion !== undefined) return instances.filter((instance) => readSoftwareVersion(instance) === softwareVersion)
  return mustBeRegistered === true ? instances.filter(({ isUnregistered }) => isUnregistered !== true) : instances
}

const listUntried = (dependencies: SelectionDependencies, input: SelectionInput): readonly BackendInstance[] =>
  listOfVersion(dependencies, input).filter(({ id }) => !input.tried.has(id))

/** Why no server of the service may get the stream, by its software version: it must go on at one that none has, or begin at one that is registered. */
export const findVersionProblem = (dependencies: SelectionDependencies, input: SelectionInput): 'versionGone' | 'versionUnregistered' | undefined => {
  if (listOfVersion(dependencies, input).length > 0) return undefined
  if (input.softwareVersion !== undefined) return 'versionGone'
  return dependencies.registry.list(input.service).length > 0 ? 'versionUnregistered' : undefined
}

const evaluate = ({ zoneDrains, notices, warmUp, refusals, client, regionByZone }: SelectionDependencies, { allowedRegions }: SelectionInput, instance: BackendInstance): InstanceEligibility => checkInstanceEligibility({
  region: regionByZone.get(instance.availabilityZone),
  isZoneDrained: zoneDrains.isDrained(instance.availabilityZone),
  isBackingOff: notices.backoffRemainingMs(instance) > 0,
  isAtWarmUpRate: warmUp.isLimitReached(instance),
  isAtRefusalLimit: refusals.isLimitReached(instance),
  isReadingSlowly: client?.isReadingSlowly?.(instance) === true
}, allowedRegions)

/** Why no backend server is eligible for the request; `undefined` where all of them were tried. */
export const findIneligibility = (dependencies: SelectionDependencies, input: SelectionInput): InstanceEligibility | undefined =>
  selectIneligibility(listUntried(dependencies, input).map((instance) => evaluate(dependencies, input, instance)))

/** A server is eligible again within a second or so. */
const SOON_ELIGIBLE: ReadonlySet<InstanceEligibility> = new Set(['open', 'warmingUp', 'serviceFull'])

const computeWaitMs = (dependencies: SelectionDependencies, input: SelectionInput, instance: BackendInstance): number => {
  const eligibility = evaluate(dependencies, input, instance)
  if (eligibility === 'backingOff') return dependencies.notices.backoffRemainingMs(instance)
  return SOON_ELIGIBLE.has(eligibility) ? 0 : Infinity
}

/**
 * Milliseconds until a server of the service accepts requests of this node again, counting servers to which the
 * request was already sent; 0 when one accepts them now, infinite when no end is known.
 */
export const computeAvailableInMs = (dependencies: SelectionDependencies, input: SelectionInput): number =>
  Math.min(...listOfVersion(dependencies, input).map((instance) => computeWaitMs(dependencies, input, instance)))

/** Suspended servers are used only when no other is left: a server that probably fails is better than a refusal. */
export const listUsable = (dependencies: SelectionDependencies, input: SelectionInput): { readonly usable: readonly BackendInstance[], readonly isLastResort: boolean } => {
  const eligible = listUntried(dependencies, input).filter((instance) => evaluate(dependencies, input, instance) === 'open')
  const usable = eligible.filter((instance) => !dependencies.health.isSuspended(instance))
  return usable.length > 0 ? { usable, isLastResort: false } : { usable: eligible, isLastResort: true }
}

/** Load estimate at the time of the selection, in requests in flight. */
export type LoadEstimate = {
  /** Load of the selected server, without this request. */
  readonly load: number
  /** Of the load, requests of this node, which it knows exactly. */
  readonly ownLoad: number
  /** Where the rest of the load comes from; `undefined` where the node knows nothing of others. */
  readonly source: LoadSource | undefined
  /** Mean load over all servers of the service. */
  readonly meanLoad: number
  readonly bound: number
  /** Number of eligible servers, and of those under the bound. */
  readonly candidates: number
  readonly underBound: number
  /** Prompt tokens that the selected server has still to read and its free memory, where its capacity is known. */
  readonly work?: CandidateWork
  readonly slowdown?: StatedSlowdown | undefined
}

/** Tokens of the prompt's shared parts at the time of the selection. */
export type PromptEstimate = {
  readonly sharedTokens: number
  /** Of these, tokens that the selected server caches. */
  readonly cachedTokens: number
  /** Longest prefix, in tokens, that any server caches which can be copied from. */
  readonly copyableTokens: number
}

export type SelectedInstance = {
  readonly instance: BackendInstance
  /** Another server that has a longer cached prefix of the prompt; it may be leaving, as long as it still serves. */
  readonly copyPromptFrom: BackendInstance | undefined
  readonly loadEstimate: LoadEstimate
  readonly promptEstimate: PromptEstimate
  /** Whether it is suspended, and every other server that may get the request as well. */
  readonly isLastResort: boolean
}

const createLoadEstimate = ({ loadView }: SelectionDependencies, instance: BackendInstance, candidates: readonly InstanceCandidate[], meanLoad: number, weights: PlacementWeights): LoadEstimate => {
  const bound = computeLoadBound(meanLoad, weights)
  const selected = candidates.find((candidate) => candidate.id === instance.id)
  const key = formatInstanceKey(instance)
  return {
    load: selected?.load ?? 0,
    ownLoad: loadView.ownInFlight(key),
    source: loadView.readSource(key),
    ...(selected?.work === undefined ? {} : { work: selected.work }),
    meanLoad,
    bound,
    candidates: candidates.length,
    underBound: candidates.filter((candidate) => isUnderLoadBound(candidate, bound)).length
  }
}

/** The exact count of this node, and how much the counts of others still say. */
const readCounts = ({ loadView, work }: SelectionDependencies, instance: BackendInstance): Pick<InstanceCandidate, 'load' | 'ownLoad' | 'averageOthersLoad' | 'countSurvival'> => {
  const key = formatInstanceKey(instance)
  const { ageMs = Infinity, averageInFlight } = loadView.readSource(key) ?? {}
  return {
    load: loadView.estimateInFlight(key),
    ownLoad: loadView.ownInFlight(key),
    ...(averageInFlight === undefined ? {} : { averageOthersLoad: averageInFlight }),
    countSurvival: computeCountSurvival({ ageMs, remainingMs: work.readRemainingMs(instance.service) })
  }
}

/** What is known of a server's work and pace; nothing for a service that describes no engines, at a server that states no slowdown. */
const readWork = ({ work }: SelectionDependencies, instance: BackendInstance): Pick<InstanceCandidate, 'work' | 'slowdown'> => {
  const estimate = work.estimate(instance)
  const stated = work.readSlowdown(instance)
  return { ...(estimate === undefined ? {} : { work: estimate }), ...(stated === undefined ? {} : { slowdown: stated.slowdown }) }
}

/**
 * Mean load over every server of the service, including leaving servers and those that are not eligible: the
 * load bound is defined as a multiple of that mean. The fewer servers are eligible, the less headroom each has.
 */
const computeMeanLoad = ({ registry, loadView }: SelectionDependencies, service: string): number => {
  const loads = registry.all().filter((instance) => instance.service === service).map((instance) => loadView.estimateInFlight(formatInstanceKey(instance)))
  return loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length)
}

/**
 * Lists the servers of the service that cache a prefix of the prompt, including leaving and
 * recently removed servers and those of a drained zone: they still serve for a while, and a
 * prefix copied from them need not be computed again. Excludes regions where the request
 * may not be served, and servers in backoff, which a copy would load as well.
 */
const listPrefixCaches = (dependencies: SelectionDependencies, input: SelectionInput, cachedTokensByKey: ReadonlyMap<string, number>): readonly PromptCopySource[] => {
  if (cachedTokensByKey.size === 0) return []
  const { registry, health, notices } = dependencies
  return [...registry.all(), ...registry.recentlyRemoved()]
    .filter((instance) => instance.service === input.service && cachedTokensByKey.has(formatInstanceKey(instance)) && !health.isSuspended(instance))
    .filter((instance) => notices.backoffRemainingMs(instance) === 0 && evaluate(dependencies, input, instance) !== 'regionNotAllowed')
    .map((instance) => ({ id: instance.id, availabilityZone: instance.availabilityZone, cachedPromptTokens: cachedTokensByKey.get(formatInstanceKey(instance)) ?? 0 }))
}

/** Returns the selected server, or `undefined` when the service has no eligible one that was not tried. */
export const selectInstance = (dependencies: SelectionDependencies, input: SelectionInput): SelectedInstance | undefined => {
  const { request, bodyBytes } = input
  const { configuration, directory, health, random, registry } = dependencies
  const { usable, isLastResort } = listUsable(dependencies, input)
  const shared = listSharedParts(request.promptParts)
  const cachedTokensByKey = directory.listCachedTokens(shared)
  const costOf = health.compareWith(usable)
  const candidates: readonly InstanceCandidate[] = usable.map((instance) => ({
    id: instance.id,
    slots: instance.slots,
    ...readCounts(dependencies, instance),
    cachedPromptTokens: cachedTokensByKey.get(formatInstanceKey(instance)) ?? 0,
    availabilityZone: instance.availabilityZone,
    slowness: costOf(instance),
    ...readWork(dependencies, instance)
  }))
  const meanLoad = computeMeanLoad(dependencies, input.service)
  const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0)
  const sent = countSentTokens(request, sharedTokens)
  const weights = { ...defaultPlacementWeights, boundFactor: LOAD_FACTOR_SHARE * dependencies.readLoadFactor() }
  const isDescribed = configuration.current()?.services.get(input.service)?.engine !== undefined
  // A server that is still reading a part has nothing to copy yet.
  const copySources = listPrefixCaches(dependencies, input, isDescribed ? directory.listCopyableTokens(shared) : cachedTokensByKey)
  const placement = selectPlacement({
    affinityKey: shared.at(-1)?.id ?? '',
    sharedTokens,
    expectedBytes: bodyBytes + (request.promptParts.length > 0 ? BYTES_PER_TOKEN * request.tokens.output : PLAIN_ANSWER_BYTES),
    availabilityZone: dependencies.availabilityZone,
    meanLoad,
    ownMemoryTokens: sent.missingTokens + sent.expectedOutputTokens
  }, candidates, copySources, random.next, weights)
  const instance = usable.find(({ id }) => id === placement?.id)
  if (instance === undefined) return undefined
  const source = placement?.copyFrom
  return {
    instance,
    isLastResort,
    copyPromptFrom: source === undefined ? undefined : registry.find(source) ?? registry.recentlyRemoved().find(({ id }) => id === source),
    loadEstimate: { ...createLoadEstimate(dependencies, instance, candidates, meanLoad, weights), slowdown: dependencies.work.readSlowdown(instance) },
    promptEstimate: {
      sharedTokens,
      cachedTokens: cachedTokensByKey.get(formatInstanceKey(instance)) ?? 0,
      copyableTokens: Math.max(0, ...copySources.map(({ cachedPromptTokens }) => cachedPromptTokens))
    }
  }
}
