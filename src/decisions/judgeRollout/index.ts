/**
 * Where a generation is in force, as far as anybody can tell: from what the
 * routers say of themselves, and for those that could not be asked, from what
 * the others last heard of them.
 */
import type { Member, Vm } from '../../types/index.js'

/** The part of a router's status that counts here. */
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
 * `reported` and `gone` need nothing more: peers heard the generation from the
 * node itself, or the platform no longer lists the VM of a node that all count
 * as dead.
 */
export type NodeRolloutState = 'inForce' | 'reported' | 'behind' | 'unconfirmed' | 'gone'

export type NodeRollout = {
  readonly node: string
  readonly availabilityZone: string
  readonly state: NodeRolloutState
  /** Last generation known there; absent when nobody knows. */
  readonly generation?: number
  readonly detail: string
}

export type Rollout = {
  readonly generation: number
  /** Whether every node that may be running has the generation. Never true without a node. */
  readonly isInForceEverywhere: boolean
  readonly nodes: readonly NodeRollout[]
}

/**
 * Judges how far a generation has come.
 *
 * @param generation - The generation that should be in force.
 * @param answers - What each router that was asked said.
 * @param vms - The platform's VM list, when it could be read; it lags, so that it only ever adds nodes to look for or confirms that a dead one is gone.
 * @returns One line a node, and whether all of them are confirmed.
 *
 * @example
 * judgeRollout(3, [], undefined) // => { generation: 3, isInForceEverywhere: false, nodes: [] }
 */
export const judgeRollout = (generation: number, answers: readonly RouterAnswer[], vms: readonly Vm[] | undefined): Rollout => {
  const reports = answers.flatMap((answer) => answer.kind === 'answered' ? [answer.report] : [])
  const answered = new Set(reports.map(({ nodeId }) => nodeId))
  const members = mergeMembers(reports).filter(({ nodeId }) => !answered.has(nodeId))
  const nodes = [
    ...reports.map((report) => judgeReport(generation, report)),
    ...members.map((member) => judgeMember(generation, member, vms)),
    ...judgeUnknownVms(vms ?? [], reports),
    ...judgeUnreachable(answers, reports.length)
  ]
  const isConfirmed = (node: NodeRollout): boolean => node.state === 'inForce' || node.state === 'reported' || node.state === 'gone'
  return { generation, isInForceEverywhere: reports.length > 0 && nodes.every(isConfirmed), nodes: [...nodes].sort(byZoneAndName) }
}

const judgeReport = (generation: number, { nodeId: node, availabilityZone, generation: current, pending }: RouterReport): NodeRollout => {
  if (current >= generation) return { node, availabilityZone, state: 'inForce', generation: current, detail: pending === undefined ? '' : pending.reason }
  const detail = pending === undefined ? 'has not heard of it' : pending.reason
  return { node, availabilityZone, state: 'behind', generation: current, detail }
}

const memberJudges: Readonly<Record<Member['state'], (generation: number, member: Member, vms: readonly Vm[] | undefined) => Pick<NodeRollout, 'state' | 'detail'>>> = {
  live: (generation, member) => judgeHeard(generation, member, 'not asked; live to its peers'),
  leaving: (generation, member) => judgeHeard(generation, member, 'not asked; leaving'),
  suspect: () => ({ state: 'unconfirmed', detail: 'unreachable: its peers suspect that it is down or cut off' }),
  dead: (_, member, vms) => {
    if (vms !== undefined && !vms.some((vm) => isVmOf(vm, member))) return { state: 'gone', detail: 'dead to its peers and no longer in the VM list' }
    return { state: 'unconfirmed', detail: 'unreachable: dead to its peers; it may be down or in a zone that is cut off' }
  }
}

const judgeHeard = (generation: number, member: Member, detail: string): Pick<NodeRollout, 'state' | 'detail'> =>
  ({ state: member.generation >= generation ? 'reported' : 'behind', detail })

const judgeMember = (generation: number, member: Member, vms: readonly Vm[] | undefined): NodeRollout =>
  ({ node: member.nodeId, availabilityZone: member.availabilityZone, generation: member.generation, ...memberJudges[member.state](generation, member, vms) })

const isVmOf = (vm: Vm, { address }: Member): boolean => vm.kind === 'router' && vm.address === `${address.host}:${address.port}`

/** Routers in the VM list that no router knows: just started, or cut off since before the others started. */
const judgeUnknownVms = (vms: readonly Vm[], reports: readonly RouterReport[]): readonly NodeRollout[] => {
  if (reports.length === 0) return []
  const known = reports.flatMap(({ members }) => members)
  return vms
    .filter((vm) => vm.kind === 'router' && !known.some((member) => isVmOf(vm, member)))
    .map((vm) => ({ node: vm.name, availabilityZone: vm.availabilityZone, state: 'unconfirmed', detail: 'in the VM list, but no router that answered knows it' }))
}

/** A router that was named but did not answer stands under its URL, since its node id is not known. */
const judgeUnreachable = (answers: readonly RouterAnswer[], reported: number): readonly NodeRollout[] => answers.flatMap((answer): readonly NodeRollout[] => {
  if (answer.kind === 'answered') return []
  const detail = `unreachable: ${answer.message}${reported === 0 ? '' : '; its node stands under its own name if its peers know it'}`
  return [{ node: answer.url, availabilityZone: '', state: 'unconfirmed', detail }]
})

/** The latest that anybody heard: the highest incarnation, then the highest generation; a live view goes before a dead one. */
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

const byZoneAndName = (one: NodeRollout, other: NodeRollout): number => {
  const left = `${one.availabilityZone} ${one.node}`
  const right = `${other.availabilityZone} ${other.node}`
  return left < right ? -1 : 1
}
