/**
 * Evaluates the rollout of a configuration generation: on which nodes it is in
 * force, according to the status of the routers that answered and, for the
 * others, the last state that their peers received from them.
 */
import type { Member, Vm } from '../../types/index.js'

/** The part of a router's status that the rollout depends on. */
export type RouterReport = {
  readonly nodeId: string
  readonly availabilityZone: string
  readonly generation: number
  readonly pending?: { readonly generation: number, readonly reason: string }
  readonly members: readonly Member[]
}

export type RouterAnswer =
  | { readonly kind: 'answered', readonly url: string, readonly report: RouterReport }
  | { readonly kind: 'unreachable', readonly url: string, readonly message: string }

/**
 * `reported` and `gone` count as confirmed: peers received the generation from
 * the node itself, or all peers consider the node dead and the platform no
 * longer lists its VM.
 */
export type NodeRolloutState = 'inForce' | 'reported' | 'behind' | 'unconfirmed' | 'gone'

export type NodeRollout = {
  readonly node: string
  readonly availabilityZone: string
  readonly state: NodeRolloutState
  /** Last known generation of the node; absent when no router knows it. */
  readonly generation?: number
  readonly detail: string
}

export type Rollout = {
  readonly generation: number
  /** Whether every node that may be running has the generation. Always false when no router answered. */
  readonly isInForceEverywhere: boolean
  readonly nodes: readonly NodeRollout[]
}

/**
 * Evaluates the state of a generation on each node.
 *
 * @param generation - The generation that should be in force.
 * @param answers - The answer of each queried router.
 * @param vms - The platform's VM list, if it could be read. It lags, so it is only used to find further nodes and to confirm that a dead node is gone.
 * @returns One entry per node, and whether all of them are confirmed.
 *
 * @example
 * evaluateRollout(3, [], undefined) // => { generation: 3, isInForceEverywhere: false, nodes: [] }
 */
export const evaluateRollout = (generation: number, answers: readonly RouterAnswer[], vms: readonly Vm[] | undefined): Rollout => {
  const reports = answers.flatMap((answer) => answer.kind === 'answered' ? [answer.report] : [])
  const answered = new Set(reports.map(({ nodeId }) => nodeId))
  const members = mergeMembers(reports).filter(({ nodeId }) => !answered.has(nodeId))
  const nodes = [
    ...reports.map((report) => evaluateReport(generation, report)),
    ...members.map((member) => evaluateMember(generation, member, vms)),
    ...listUnknownVms(vms ?? [], reports),
    ...listUnreachableRouters(answers, reports.length)
  ]
  const isConfirmed = (node: NodeRollout): boolean => node.state === 'inForce' || node.state === 'reported' || node.state === 'gone'
  return { generation, isInForceEverywhere: reports.length > 0 && nodes.every(isConfirmed), nodes: [...nodes].sort(compareByZoneAndName) }
}

const evaluateReport = (generation: number, { nodeId: node, availabilityZone, generation: current, pending }: RouterReport): NodeRollout => {
  if (current >= generation) return { node, availabilityZone, state: 'inForce', generation: current, detail: pending === undefined ? '' : pending.reason }
  const detail = pending === undefined ? 'has not heard of it' : pending.reason
  return { node, availabilityZone, state: 'behind', generation: current, detail }
}

const memberEvaluators: Readonly<Record<Member['state'], (generation: number, member: Member, vms: readonly Vm[] | undefined) => Pick<NodeRollout, 'state' | 'detail'>>> = {
  live: (generation, member) => evaluateReportedGeneration(generation, member, 'not asked; live to its peers'),
  leaving: (generation, member) => evaluateReportedGeneration(generation, member, 'not asked; leaving'),
  suspect: () => ({ state: 'unconfirmed', detail: 'unreachable: its peers suspect that it is down or cut off' }),
  dead: (_, member, vms) => {
    if (vms !== undefined && !vms.some((vm) => isVmOf(vm, member))) return { state: 'gone', detail: 'dead to its peers and no longer in the VM list' }
    return { state: 'unconfirmed', detail: 'unreachable: dead to its peers; it may be down or in a zone that is cut off' }
  }
}

const evaluateReportedGeneration = (generation: number, member: Member, detail: string): Pick<NodeRollout, 'state' | 'detail'> =>
  ({ state: member.generation >= generation ? 'reported' : 'behind', detail })

const evaluateMember = (generation: number, member: Member, vms: readonly Vm[] | undefined): NodeRollout =>
  ({ node: member.nodeId, availabilityZone: member.availabilityZone, generation: member.generation, ...memberEvaluators[member.state](generation, member, vms) })

const isVmOf = (vm: Vm, { address }: Member): boolean => vm.kind === 'router' && vm.address === `${address.host}:${address.port}`

/** Lists routers of the VM list that no router knows: just started, or partitioned since before the others started. */
const listUnknownVms = (vms: readonly Vm[], reports: readonly RouterReport[]): readonly NodeRollout[] => {
  if (reports.length === 0) return []
  const known = reports.flatMap(({ members }) => members)
  return vms
    .filter((vm) => vm.kind === 'router' && !known.some((member) => isVmOf(vm, member)))
    .map((vm) => ({ node: vm.name, availabilityZone: vm.availabilityZone, state: 'unconfirmed', detail: 'in the VM list, but no router that answered knows it' }))
}

/** Lists each queried router that did not answer under its URL, since its node id is not known. */
const listUnreachableRouters = (answers: readonly RouterAnswer[], reported: number): readonly NodeRollout[] => answers.flatMap((answer): readonly NodeRollout[] => {
  if (answer.kind === 'answered') return []
  const detail = `unreachable: ${answer.message}${reported === 0 ? '' : '; its node stands under its own name if its peers know it'}`
  return [{ node: answer.url, availabilityZone: '', state: 'unconfirmed', detail }]
})

/** Merges member views into the latest: the highest incarnation, then the highest generation, then the state closest to live. */
const mergeMembers = (reports: readonly RouterReport[]): readonly Member[] => {
  const latest = new Map<string, Member>()
  for (const member of reports.flatMap(({ members }) => members)) {
    const known = latest.get(member.nodeId)
    if (known === undefined || isLater(member, known)) latest.set(member.nodeId, member)
  }
  return [...latest.values()]
}

const stateOrder: readonly Member['state'][] = ['dead', 'suspect', 'leaving', 'live']

const isLater = (member: Member, known: Member): boolean => {
  if (member.incarnation !== known.incarnation) return member.incarnation > known.incarnation
  if (member.generation !== known.generation) return member.generation > known.generation
  return stateOrder.indexOf(member.state) > stateOrder.indexOf(known.state)
}

const compareByZoneAndName = (one: NodeRollout, other: NodeRollout): number => {
  const left = `${one.availabilityZone} ${one.node}`
  const right = `${other.availabilityZone} ${other.node}`
  return left < right ? -1 : 1
}
