/**
 * Bounds the tokens that this node has copied to homes per second: after a release, a
 * scale-out or the return of a zone, many prompts have new homes at once, and callers
 * wait for copies on the same links. A prompt whose copy is not granted stays where it
 * is cached. The fleet's bound is a share of the engines' links, divided among the nodes.
 */
import type { Clock, EngineCapacity } from '../../../types/index.js'

export type CopyBudgetInput = {
  readonly tokens: number
  readonly engine: Pick<EngineCapacity, 'bytesPerToken' | 'linkMbps'>
  /** Number of engines of the service, and of nodes that send to them. */
  readonly engines: number
  readonly nodes: number
}

export type CopyBudget = {
  /** Takes the tokens of a copy from the budget of the service, if it has that many left. */
  readonly take: (service: string, input: CopyBudgetInput) => boolean
}

/** Share of the time of the engines' links that copies to homes may take. */
const LINK_SHARE = 0.1
/** Tokens that were not used are kept for this long, in seconds. */
const KEPT_S = 1
const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1_000_000
const MS_PER_SECOND = 1_000

/** Computes the tokens per second that one node may have copied to homes. */
const computeTokensPerSecond = ({ engine, engines, nodes }: CopyBudgetInput): number =>
  LINK_SHARE * engine.linkMbps * BITS_PER_MEGABIT / BITS_PER_BYTE / engine.bytesPerToken * engines / Math.max(1, nodes)

/** Creates the budgets of one node; each begins full. */
export const createCopyBudget = (clock: Clock): CopyBudget => {
  const budgets = new Map<string, { readonly tokens: number, readonly at: number }>()
  return {
    take: (service, input) => {
      const now = clock.now()
      const rate = computeTokensPerSecond(input)
      const last = budgets.get(service)
      const available = last === undefined ? KEPT_S * rate : Math.min(KEPT_S * rate, last.tokens + rate * (now - last.at) / MS_PER_SECOND)
      const isGranted = input.tokens <= available
      budgets.set(service, { tokens: isGranted ? available - input.tokens : available, at: now })
      return isGranted
    }
  }
}
