/** Policies for the selection of a backend server that the benchmark compares. */
import { chooseBackendServer } from '../../../decisions/chooseBackendServer/index.js'
import type { LoadedCandidate } from '../../../decisions/computeLoadBounds/index.js'
import { rankBackendServers } from '../../../decisions/rankBackendServers/index.js'
import type { RandomSource } from '../../../types/index.js'

export type PolicyInput = {
  readonly chatKey: string
  readonly isNewChat: boolean
  readonly hintedBackendServer?: string
  readonly candidates: readonly LoadedCandidate[]
  readonly random: RandomSource
  readonly loadTarget: number
  readonly loadLimit: number
}

export type Policy = {
  readonly selectServer: (demand: PolicyInput) => LoadedCandidate | undefined
  /** Whether the policy looks up the server that last served the chat. */
  readonly usesLastServer: boolean
  /** Whether loads and last servers are exact and up to date, as if a single router handled all requests. */
  readonly hasExactState: boolean
}

const NONE: ReadonlySet<string> = new Set()

const pickRandom = ({ candidates, random }: PolicyInput): LoadedCandidate | undefined => candidates[Math.floor(random.next() * candidates.length)]

const pickLessLoaded = (one: LoadedCandidate | undefined, other: LoadedCandidate | undefined): LoadedCandidate | undefined => {
  if (one === undefined || other === undefined) return one ?? other
  return other.inFlight / other.weight < one.inFlight / one.weight ? other : one
}

type BoundedOptions = {
  /** Uses the load limit as the load target. */
  readonly targetsLimit?: boolean
  readonly usesLastServer: boolean
  readonly newChatChoices: number
  /** Uses a separate, lower load target for new chats. */
  readonly hasNewChatTarget?: boolean
  readonly hasExactState?: boolean
}

const createBoundedPolicy = (options: BoundedOptions): Policy => ({
  usesLastServer: options.usesLastServer,
  hasExactState: options.hasExactState === true,
  selectServer: (demand) => {
    const loadTarget = options.targetsLimit === true ? demand.loadLimit : demand.loadTarget
    return chooseBackendServer({ ...demand, excluded: NONE }, demand.candidates, {
      loadTarget,
      loadLimit: demand.loadLimit,
      newChatChoices: options.newChatChoices,
      ...(options.hasNewChatTarget === true ? {} : { newChatLoadTarget: loadTarget })
    })
  }
})

export const policies: Readonly<Record<string, Policy>> = {
  random: { usesLastServer: false, hasExactState: false, selectServer: pickRandom },
  'plain rendezvous': { usesLastServer: false, hasExactState: false, selectServer: ({ chatKey, candidates }) => rankBackendServers(chatKey, candidates)[0] },
  'least of two': { usesLastServer: false, hasExactState: false, selectServer: (demand) => pickLessLoaded(pickRandom(demand), pickRandom(demand)) },
  'bounded at the limit': createBoundedPolicy({ targetsLimit: true, usesLastServer: false, newChatChoices: 1 }),
  'bounded at the target': createBoundedPolicy({ usesLastServer: false, newChatChoices: 1 }),
  'bounded, memory': createBoundedPolicy({ usesLastServer: true, newChatChoices: 1 }),
  'bounded, memory, two choices': createBoundedPolicy({ usesLastServer: true, newChatChoices: 2 }),
  'bounded, memory, new chats apart': createBoundedPolicy({ usesLastServer: true, newChatChoices: 4, hasNewChatTarget: true }),
  'unlimited knowledge': createBoundedPolicy({ targetsLimit: true, usesLastServer: true, newChatChoices: 2, hasExactState: true })
}
