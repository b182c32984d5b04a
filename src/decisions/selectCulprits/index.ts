/**
 * Selects the prompt parts that probably made backend servers end. Servers end for other
 * reasons too, and each end concerns all parts of the requests that had no answer there yet.
 * A part is suspect when no answer with it was in order between several ends, and this is
 * unlikely by chance, or when it was at almost every end. The part at the most ends comes
 * first: the ends that it explains say nothing about the others.
 */
import type { RequestCounts } from '../../types/index.js'

/** The end of a server, with the parts of requests that ran there and had no answer in order since. */
export type SuspiciousEnd = {
  /** Server that ended, as `id@incarnation`. */
  readonly server: string
  /** Monotonic milliseconds. */
  readonly at: number
  readonly parts: ReadonlySet<string>
}

export type CulpritOptions = {
  /** Servers whose end a part explains that is known to end servers; none by default. */
  readonly explained?: ReadonlySet<string>
  /** Requests of the service that ended lately, those with the parts in question included. */
  readonly counts: RequestCounts
}

/** One end may have any reason. */
export const MINIMUM_ENDS = 2

/** Ends within this time of the first one of a group have one cause, in milliseconds: servers may lose power together, and a slow node notices late. */
const GROUP_MS = 300
/** Probability up to which it counts as no chance that all requests with a part broke. */
const CHANCE = 0.005
/** A part that was at almost every end is suspect from this many ends on, however many requests broke. */
const MINIMUM_ENDS_AT_ALL = 3
const ALMOST_ALL = 0.8

/** What is known against one part. */
type Charge = { readonly part: string, ends: number, groups: number, lastGroup: number, readonly firstEnd: number }

/** Counts the ends of each part, and how many of them may have had causes of their own. */
const listCharges = (ends: readonly SuspiciousEnd[]): readonly Charge[] => {
  const charges = new Map<string, Charge>()
  let group = 0
  let groupBeganAt = ends[0]?.at ?? 0
  for (const [index, { at, parts }] of ends.entries()) {
    if (at - groupBeganAt > GROUP_MS) {
      group += 1
      groupBeganAt = at
    }
    for (const part of parts) {
      const charge = charges.get(part) ?? { part, ends: 0, groups: 0, lastGroup: -1, firstEnd: index }
      charge.ends += 1
      if (charge.lastGroup !== group) charge.groups += 1
      charge.lastGroup = group
      charges.set(part, charge)
    }
  }
  return [...charges.values()]
}

/** Number of ends from which on it is no chance that no answer was in order, by how many of the other requests broke. */
const computeNeededEnds = ({ complete, broken }: RequestCounts, ends: number): number => {
  const others = Math.max(0, broken - ends)
  if (complete === 0) return Infinity
  return others === 0 ? MINIMUM_ENDS : Math.max(MINIMUM_ENDS, Math.ceil(Math.log(CHANCE) / Math.log(others / (others + complete))))
}

/**
 * Selects the parts.
 *
 * @param ends - Ends of servers of one service within the last minute or so, in any order.
 * @param options - What is known already, and how many requests break.
 * @returns The parts at the most ends, if that is enough to suspect them; several when as many ends concern them.
 *
 * @example
 * selectCulprits([{ server: 's1@1', at: 0, parts: new Set(['a', 'b']) }, { server: 's2@1', at: 900, parts: new Set(['a']) }], { counts: { complete: 50, broken: 3 } }) // => ['a']
 */
export const selectCulprits = (ends: readonly SuspiciousEnd[], { explained = new Set(), counts }: CulpritOptions): readonly string[] => {
  const open = ends.filter(({ server }) => !explained.has(server)).sort((left, right) => left.at - right.at)
  const charges = listCharges(open).filter(({ groups }) => groups >= MINIMUM_ENDS)
  const most = Math.max(0, ...charges.map((charge) => charge.ends))
  const strongest = charges.filter((charge) => charge.ends === most)
  const neededEnds = computeNeededEnds(counts, most)
  const improbable = strongest.filter(({ groups }) => groups >= neededEnds)
  if (improbable.length > 0) return improbable.map(({ part }) => part)
  const isAtAlmostAll = ({ groups, firstEnd }: Charge): boolean => groups >= MINIMUM_ENDS_AT_ALL && most >= ALMOST_ALL * (open.length - firstEnd)
  return strongest.length === 1 ? strongest.filter(isAtAlmostAll).map(({ part }) => part) : []
}
