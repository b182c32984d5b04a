/** The backend server for the next send of a request: what the node knows, put to `placeRequest`. */
import { defaultPlacementWeights, placeRequest } from '../../../decisions/placeRequest/index.js'
import type { InstanceCandidate, PromptKeeper } from '../../../decisions/placeRequest/index.js'
import type { BackendInstance, GatewayRequest } from '../../../types/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import type { ForwardingDependencies } from '../index.js'

export type ChoiceDependencies = Pick<ForwardingDependencies, 'registry' | 'health' | 'directory' | 'loadView' | 'random'> & {
  readonly availabilityZone: string
  readonly readLoadFactor: () => number
}

export type Choice = {
  readonly request: GatewayRequest
  readonly service: string
  readonly bodyBytes: number
  /** Ids of backend servers that had the request already. */
  readonly tried: ReadonlySet<string>
}

/** Bytes of an answer that is no stream, and of one token in a stream, headers included; averages of both kinds of service. */
const WHOLE_ANSWER_BYTES = 1_200
const BYTES_PER_TOKEN = 30

/** Part of the promised multiple that placement uses: counts of other nodes are a quarter of a second old. */
const BOUND_SHARE = 0.96

/** Held servers come back into question only when no other is left: an unlikely server beats a refusal. */
const listUsable = ({ registry, health }: ChoiceDependencies, { service, tried }: Choice): readonly BackendInstance[] => {
  const untried = registry.list(service).filter(({ id }) => !tried.has(id))
  const usable = untried.filter((instance) => !health.isHeld(instance))
  return usable.length > 0 ? usable : untried
}

export type ChosenInstance = {
  readonly instance: BackendInstance
  /** Another one that keeps more of the prompt; leaving ones are asked too, while they last. */
  readonly copyPromptFrom: BackendInstance | undefined
}

/**
 * What each server of the service keeps of a prompt: leaving and just removed
 * ones too. They serve on for a while, and what is copied from them in that time need
 * not be read again.
 */
const listKeepers = ({ registry, health }: ChoiceDependencies, service: string, kept: ReadonlyMap<string, number>): readonly PromptKeeper[] => {
  if (kept.size === 0) return []
  return [...registry.all(), ...registry.removedLately()]
    .filter((instance) => instance.service === service && kept.has(formatInstanceKey(instance)) && !health.isHeld(instance))
    .map((instance) => ({ id: instance.id, availabilityZone: instance.availabilityZone, keptTokens: kept.get(formatInstanceKey(instance)) ?? 0 }))
}

/** Returns the chosen one, or `undefined` when the service has none that was not tried. */
export const chooseInstance = (dependencies: ChoiceDependencies, choice: Choice): ChosenInstance | undefined => {
  const { request, service, bodyBytes } = choice
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
  const placement = placeRequest({
    affinityKey: shared.at(-1)?.id ?? '',
    sharedTokens: shared.reduce((sum, part) => sum + part.tokens, 0),
    expectedBytes: bodyBytes + (request.promptParts.length > 0 ? BYTES_PER_TOKEN * request.tokens.output : WHOLE_ANSWER_BYTES),
    availabilityZone: dependencies.availabilityZone
  }, candidates, listKeepers(dependencies, service, kept), random.next, { ...defaultPlacementWeights, boundFactor: BOUND_SHARE * dependencies.readLoadFactor() })
  const instance = usable.find(({ id }) => id === placement?.id)
  if (instance === undefined) return undefined
  const source = placement?.copyFrom
  return { instance, copyPromptFrom: source === undefined ? undefined : registry.find(source) ?? registry.removedLately().find(({ id }) => id === source) }
}
