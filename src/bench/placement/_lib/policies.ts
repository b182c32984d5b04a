/** Policies for the selection of a backend server that the benchmark compares. */
import { chooseBackendServer } from '../../../decisions/chooseBackendServer/index.js'
import type { LoadedCandidate } from '../../../decisions/computeLoadBounds/index.js'
import { rankBackendServers } from '../../../decisions/rankBackendServers/index.js'
import type { RandomSource } from '../../../types/index.js'

export type PolicyDemand = {
  readonly chatKey: string
  readonly isNewChat: boolean
  readonly hintedBackendServer?: string
  readonly candidates: readonly LoadedCandidate[]
  readonly random: RandomSource
  readonly loadTarget: number
  readonly loadLimit: number
}

export type Policy = {
  readonly choose: (demand: PolicyDemand) => LoadedCandidate | undefined
  /** Whether the policy looks up the server that last served the chat. */
  readonly usesMemory: boolean
  /** Whether loads and last servers are exact and up to date, as if a single router handled all requests. */
  readonly knowsAll: boolean
}

const NONE: ReadonlySet<string> = new Set()

const pickRandom = ({ candidates, random }: PolicyDemand): LoadedCandidate | undefined => candidates[Math.floor(random.next() * candidates.length)]

const pickLessLoaded = (one: LoadedCandidate | undefined, other: LoadedCandidate | undefined): LoadedCandidate | undefined => {
  if (one === undefined || other === undefined) return one ?? other
  return other.inFlight / other.weight < one.inFlight / one.weight ? other : one
}

type BoundedOptions = {
  /** Uses the load limit as the load target. */
  readonly atLimit?: boolean
  readonly usesMemory: boolean
  readonly newChatChoices: number
  /** Uses a separate, lower load target for new chats. */
  readonly splitsTarget?: boolean
  readonly knowsAll?: boolean
}

const createBounded = (options: BoundedOptions): Policy => ({
  usesMemory: options.usesMemory,
  knowsAll: options.knowsAll === true,
  choose: (demand) => {
    const loadTarget = options.atLimit === true ? demand.loadLimit : demand.loadTarget
    return chooseBackendServer({ ...demand, excluded: NONE }, demand.candidates, {
      loadTarget,
      loadLimit: demand.loadLimit,
      newChatChoices: options.newChatChoices,
      ...(options.splitsTarget === true ? {} : { newChatLoadTarget: loadTarget })
    })
  }
})

export const policies: Readonly<Record<string, Policy>> = {
  random: { usesMemory: false, knowsAll: false, choose: pickRandom },
  'plain rendezvous': { usesMemory: false, knowsAll: false, choose: ({ chatKey, candidates }) => rankBackendServers(chatKey, candidates)[0] },
  'least of two': { usesMemory: false, knowsAll: false, choose: (demand) => pickLessLoaded(pickRandom(demand), pickRandom(demand)) },
  'bounded at the limit': createBounded({ atLimit: true, usesMemory: false, newChatChoices: 1 }),
  'bounded at the target': createBounded({ usesMemory: false, newChatChoices: 1 }),
  'bounded, memory': createBounded({ usesMemory: true, newChatChoices: 1 }),
  'bounded, memory, two choices': createBounded({ usesMemory: true, newChatChoices: 2 }),
  'bounded, memory, new chats apart': createBounded({ usesMemory: true, newChatChoices: 4, splitsTarget: true }),
  'unlimited knowledge': createBounded({ atLimit: true, usesMemory: true, newChatChoices: 2, knowsAll: true })
}
