/** The backend server for the next send of a request: what the node knows, put to `placeRequest`. */
import { defaultPlacementWeights, placeRequest } from '../../../decisions/placeRequest/index.js'
import type { InstanceCandidate } from '../../../decisions/placeRequest/index.js'
import type { BackendInstance, GatewayRequest, PromptPart } from '../../../types/index.js'
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
const BOUND_SHARE = 0.9

/** Held servers come back into question only when no other is left: an unlikely server beats a refusal. */
const listUsable = ({ registry, health }: ChoiceDependencies, { service, tried }: Choice): readonly BackendInstance[] => {
  const untried = registry.list(service).filter(({ id }) => !tried.has(id))
  const usable = untried.filter((instance) => !health.isHeld(instance))
  return usable.length > 0 ? usable : untried
}

/**
 * Tokens that a copy has to save: it takes the engines' link for some
 * microseconds a token, where reading takes 26, and a call between them besides.
 */
const LEAST_TOKENS_COPIED = 100

export type ChosenInstance = {
  readonly instance: BackendInstance
  /** Another one that keeps more of the prompt; leaving ones are asked too, while they last. */
  readonly copyPromptFrom: BackendInstance | undefined
}

type Keeper = { readonly instance: BackendInstance, readonly keptTokens: number }

/** What each server of the service keeps of a prompt: leaving ones too, from which it can still be copied. */
const listKeepers = ({ registry, directory, health }: ChoiceDependencies, service: string, shared: readonly PromptPart[]): readonly Keeper[] =>
  registry.all()
    .filter((instance) => instance.service === service && !health.isHeld(instance))
    .map((instance) => ({ instance, keptTokens: directory.countKept(shared, formatInstanceKey(instance)) }))

const findBestKeeper = (keepers: readonly Keeper[]): Keeper | undefined => {
  let best: Keeper | undefined
  for (const keeper of keepers) if (keeper.keptTokens > (best?.keptTokens ?? 0)) best = keeper
  return best
}

/** Returns the chosen one, or `undefined` when the service has none that was not tried. */
export const chooseInstance = (dependencies: ChoiceDependencies, choice: Choice): ChosenInstance | undefined => {
  const { request, service, bodyBytes } = choice
  const { directory, loadView, health, random } = dependencies
  const usable = listUsable(dependencies, choice)
  // The last part belongs to the request alone.
  const shared = request.promptParts.slice(0, -1)
  const keeper = shared.length > 0 ? findBestKeeper(listKeepers(dependencies, service, shared)) : undefined
  const candidates: InstanceCandidate[] = usable.map((instance) => {
    const keptTokens = directory.countKept(shared, formatInstanceKey(instance))
    return {
      id: instance.id,
      slots: instance.slots,
      load: loadView.estimateInFlight(formatInstanceKey(instance)),
      keptTokens,
      copyableTokens: Math.max(0, (keeper?.keptTokens ?? 0) - keptTokens),
      isInZone: instance.availabilityZone === dependencies.availabilityZone,
      slowness: health.handicap(instance, usable)
    }
  })
  const chosen = placeRequest({
    affinityKey: shared.at(-1)?.id ?? '',
    sharedTokens: shared.reduce((sum, part) => sum + part.tokens, 0),
    expectedBytes: bodyBytes + (request.promptParts.length > 0 ? BYTES_PER_TOKEN * request.tokens.output : WHOLE_ANSWER_BYTES)
  }, candidates, random.next, { ...defaultPlacementWeights, boundFactor: BOUND_SHARE * dependencies.readLoadFactor() })
  const instance = usable.find(({ id }) => id === chosen)
  if (instance === undefined) return undefined
  const copyable = candidates.find(({ id }) => id === chosen)?.copyableTokens ?? 0
  return { instance, copyPromptFrom: copyable > LEAST_TOKENS_COPIED ? keeper?.instance : undefined }
}
