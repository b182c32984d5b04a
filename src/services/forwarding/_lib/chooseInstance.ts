/** The backend server for the next send of a request: what the node knows, put to `placeRequest`. */
import { computeLoadBound, defaultPlacementWeights, placeRequest } from '../../../decisions/placeRequest/index.js'
import type { InstanceCandidate, PlacementWeights, PromptKeeper } from '../../../decisions/placeRequest/index.js'
import { judgeInstance } from '../../../decisions/judgeInstance/index.js'
import type { InstanceVerdict } from '../../../decisions/judgeInstance/index.js'
import { selectVerdict } from '../../../decisions/selectVerdict/index.js'
import type { BackendInstance, GatewayRequest } from '../../../types/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import type { ForwardingDependencies } from '../index.js'

export type ChoiceDependencies = Pick<ForwardingDependencies, 'registry' | 'health' | 'directory' | 'loadView' | 'random' | 'zoneDrains' | 'warmUp'> & {
  readonly availabilityZone: string
  /** Region of each availability zone, where requests are bound to regions. */
  readonly regionByZone: ReadonlyMap<string, string>
  readonly readLoadFactor: () => number
}

export type Choice = {
  readonly request: GatewayRequest
  readonly service: string
  readonly bodyBytes: number
  /** Ids of backend servers that had the request already. */
  readonly tried: ReadonlySet<string>
  /** Lists of regions that bind the request, each for itself. */
  readonly allowedRegions: readonly (readonly string[])[]
}

/** Bytes of an answer that is no stream, and of one token in a stream, headers included; averages of both kinds of service. */
const WHOLE_ANSWER_BYTES = 1_200
const BYTES_PER_TOKEN = 30

/** Part of the promised multiple that placement uses: counts of other nodes are a quarter of a second old. */
const BOUND_SHARE = 0.96

const listUntried = ({ registry }: ChoiceDependencies, { service, tried }: Choice): readonly BackendInstance[] =>
  registry.list(service).filter(({ id }) => !tried.has(id))

const judge = ({ zoneDrains, warmUp, regionByZone }: ChoiceDependencies, { allowedRegions }: Choice, instance: BackendInstance): InstanceVerdict => judgeInstance({
  region: regionByZone.get(instance.availabilityZone),
  isZoneDrained: zoneDrains.isDrained(instance.availabilityZone),
  isAtWarmUpRate: warmUp.isAtRate(instance)
}, allowedRegions)

/** Why no server may get the request; `undefined` where there is none that it has not tried. */
export const findBarrier = (dependencies: ChoiceDependencies, choice: Choice): InstanceVerdict | undefined =>
  selectVerdict(listUntried(dependencies, choice).map((instance) => judge(dependencies, choice, instance)))

/** Held servers come back into question only when no other is left: an unlikely server beats a refusal. */
const listUsable = (dependencies: ChoiceDependencies, choice: Choice): readonly BackendInstance[] => {
  const open = listUntried(dependencies, choice).filter((instance) => judge(dependencies, choice, instance) === 'open')
  const usable = open.filter((instance) => !dependencies.health.isHeld(instance))
  return usable.length > 0 ? usable : open
}

/** What the node believed of the load when it chose, in requests in flight. */
export type LoadBelief = {
  /** On the chosen server, before this request. */
  readonly load: number
  /** A server, over all of the service. */
  readonly meanLoad: number
  readonly bound: number
  /** Servers that could get the request, and those of them under the bound. */
  readonly candidates: number
  readonly underBound: number
}

export type ChosenInstance = {
  readonly instance: BackendInstance
  /** Another one that keeps more of the prompt; leaving ones are asked too, while they last. */
  readonly copyPromptFrom: BackendInstance | undefined
  readonly belief: LoadBelief
}

const describeBelief = (id: string, candidates: readonly InstanceCandidate[], meanLoad: number, weights: PlacementWeights): LoadBelief => {
  const bound = computeLoadBound(meanLoad, weights)
  return {
    load: candidates.find((candidate) => candidate.id === id)?.load ?? 0,
    meanLoad,
    bound,
    candidates: candidates.length,
    underBound: candidates.filter(({ load }) => load + 1 <= bound).length
  }
}

/**
 * The mean over every server of the service, leaving ones and those that may not get the request too: the
 * promise is a multiple of that mean, and the fewer servers are open the less each of them may be over it.
 */
const computeMeanLoad = ({ registry, loadView }: ChoiceDependencies, service: string): number => {
  const loads = registry.all().filter((instance) => instance.service === service).map((instance) => loadView.estimateInFlight(formatInstanceKey(instance)))
  return loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length)
}

/**
 * What each server of the service keeps of a prompt: leaving and just removed
 * ones too, and those of a drained zone. They serve on for a while, and what is copied
 * from them in that time need not be read again. None in a region where the request
 * may not be served.
 */
const listKeepers = (dependencies: ChoiceDependencies, choice: Choice, kept: ReadonlyMap<string, number>): readonly PromptKeeper[] => {
  if (kept.size === 0) return []
  const { registry, health } = dependencies
  return [...registry.all(), ...registry.removedLately()]
    .filter((instance) => instance.service === choice.service && kept.has(formatInstanceKey(instance)) && !health.isHeld(instance))
    .filter((instance) => judge(dependencies, choice, instance) !== 'regionNotAllowed')
    .map((instance) => ({ id: instance.id, availabilityZone: instance.availabilityZone, keptTokens: kept.get(formatInstanceKey(instance)) ?? 0 }))
}

/** Returns the chosen one, or `undefined` when the service has none that was not tried. */
export const chooseInstance = (dependencies: ChoiceDependencies, choice: Choice): ChosenInstance | undefined => {
  const { request, bodyBytes } = choice
  const { directory, loadView, health, random, registry } = dependencies
  const usable = listUsable(dependencies, choice)
  // The last part belongs to the request alone.
  const shared = request.promptParts.slice(0, -1)
  const kept = directory.listKept(shared)
  const handicapOf = health.compareWith(usable)
  const candidates: readonly InstanceCandidate[] = usable.map((instance) => ({
    id: instance.id,
    slots: instance.slots,
    load: loadView.estimateInFlight(formatInstanceKey(instance)),
    keptTokens: kept.get(formatInstanceKey(instance)) ?? 0,
    availabilityZone: instance.availabilityZone,
    slowness: handicapOf(instance)
  }))
  const meanLoad = computeMeanLoad(dependencies, choice.service)
  const weights = { ...defaultPlacementWeights, boundFactor: BOUND_SHARE * dependencies.readLoadFactor() }
  const placement = placeRequest({
    affinityKey: shared.at(-1)?.id ?? '',
    sharedTokens: shared.reduce((sum, part) => sum + part.tokens, 0),
    expectedBytes: bodyBytes + (request.promptParts.length > 0 ? BYTES_PER_TOKEN * request.tokens.output : WHOLE_ANSWER_BYTES),
    availabilityZone: dependencies.availabilityZone,
    meanLoad
  }, candidates, listKeepers(dependencies, choice, kept), random.next, weights)
  const instance = usable.find(({ id }) => id === placement?.id)
  if (instance === undefined) return undefined
  const source = placement?.copyFrom
  return {
    instance,
    copyPromptFrom: source === undefined ? undefined : registry.find(source) ?? registry.removedLately().find(({ id }) => id === source),
    belief: describeBelief(instance.id, candidates, meanLoad, weights)
  }
}
