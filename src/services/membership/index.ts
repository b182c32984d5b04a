/**
 * Membership: tracks the nodes of the fleet and their states. Each node sends
 * heartbeats with an incarnation number, a few peers watch them, and gossip
 * spreads state changes, as in SWIM. The views of nodes may differ for seconds;
 * no invariant depends on equal views.
 */
import { createGossipQueue } from './_lib/createGossipQueue.js'
import { createFailureDetector } from './_lib/createFailureDetector.js'
import { mergeMember } from '../../decisions/mergeMember/index.js'
import { refuteSuspicion } from '../../decisions/refuteSuspicion/index.js'
import { selectHeartbeatTargets } from '../../decisions/selectHeartbeatTargets/index.js'
import type { HeartbeatFanOut } from '../../decisions/selectHeartbeatTargets/index.js'
import { containStep } from '../_lib/containStep.js'
import type { ThrownReport } from '../_lib/containStep.js'
import { describeError } from '../../kernel/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { HeartbeatExchange } from '../heartbeatExchange/index.js'
import type { VmList } from '../vmList/index.js'
import type { Clock, Heartbeat, Logger, Member, Membership, PeerAddress, PeerTransport, RandomSource, RouterSettings, Timer } from '../../types/index.js'

export type MembershipDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly transport: PeerTransport
  readonly exchange: HeartbeatExchange
  readonly vmList: VmList
  readonly logger?: Logger
}

export type MembershipOptions = {
  readonly settings: Pick<RouterSettings, 'nodeId' | 'availabilityZone' | 'seedPeers' | 'heartbeatIntervalMs' | 'suspectAfterMs' | 'deadAfterMs'>
  /** Address to which peers connect; read once at the start, when the listener has its port. */
  readonly address: () => PeerAddress
  /** The configuration generation in force on this node. */
  readonly generation?: () => number
  readonly fanOut?: HeartbeatFanOut
  /** CPU available to this node in thousandths of a core. */
  readonly millicores?: number
  /** Port on which this node takes requests of peers. */
  readonly relayPort?: number
  /** How long the record of a dead member is kept, in milliseconds; an hour by default. */
  readonly forgetAfterMs?: number
  /** Called with what a step of a heartbeat round throws; it is logged by default. */
  readonly onThrown?: ThrownReport
}

export const DEFAULT_FAN_OUT: HeartbeatFanOut = { fullMeshPeers: 12, zoneWatchers: 2, remoteWatchers: 1, randomZonePeers: 1, randomRemotePeers: 1 }

const DEFAULT_FORGET_AFTER_MS = 3_600_000
/** Members per heartbeat to a node that requested the complete list; it gets the list in several heartbeats. */
const MEMBERS_PER_HEARTBEAT = 64
const CONTACTS_PER_TICK_ALONE = 8
const CONTACTS_PER_TICK = 1
/**
 * A recently started node without peers contacts addresses at this interval, for the limit below, both in
 * milliseconds. After a loss of power all nodes start within a second; with the heartbeat interval, a
 * heartbeat to a node that is not listening yet would leave this one without peers for another interval.
 */
const PEER_SEARCH_INTERVAL_MS = 150
const PEER_SEARCH_LIMIT_MS = 3_000
/** Number of requests for the complete member list after the start, and milliseconds between them. */
const MAXIMUM_MEMBER_REQUESTS = 3
const MEMBER_REQUEST_INTERVAL_MS = 1_000
/** A gap between ticks of more than this many heartbeat intervals means that this process was paused. */
const PAUSE_TICKS = 3

type HeartbeatFlags = Pick<Heartbeat, 'membersWanted' | 'echoWanted' | 'isRoster'>

const isSame = (one: PeerAddress, other: PeerAddress): boolean => one.host === other.host && one.port === other.port

/**
 * Creates the membership service of one node.
 *
 * @param dependencies - Clock, random source, transport, the heartbeat exchange and the VM list.
 * @param options - Settings (milliseconds), the own address and generation, and the fan-out.
 * @returns A service that sends heartbeats from its start to its stop.
 *
 * @example
 * const membership = createMembership({ clock, random, transport, exchange, vmList }, { settings, address: transport.address })
 * await membership.start?.()
 * membership.api.liveMembers() // => [this router]
 */
export const createMembership = (dependencies: MembershipDependencies, options: MembershipOptions): RunningService<Membership> => {
  const { clock, random, transport, exchange, vmList, logger } = dependencies
  const { settings } = options
  const onThrown = options.onThrown ?? ((error) => logger?.error('step failed', { part: 'membership', reason: describeError(error) }))
  const fanOut = options.fanOut ?? DEFAULT_FAN_OUT
  const peers = new Map<string, Member>()
  const changedAt = new Map<string, number>()
  const gossipQueue = createGossipQueue()
  const failureDetector = createFailureDetector()
  const listeners: (() => void)[] = []
  let timer: Timer | undefined
  let lastTickAt = clock.now()
  let startedAt = -Infinity
  let memberRequests = 0
  // The wall time gives a restarted node, which has no stored state, a higher incarnation than before.
  let ownRecord: Member = {
    nodeId: settings.nodeId,
    incarnation: clock.wallTime(),
    address: { host: '', port: 0 },
    availabilityZone: settings.availabilityZone,
    state: 'live',
    generation: 0,
    ...(options.millicores === undefined ? {} : { millicores: options.millicores }),
    ...(options.relayPort === undefined ? {} : { relayPort: options.relayPort })
  }

  const self = (): Member => {
    const generation = options.generation?.() ?? 0
    if (generation !== ownRecord.generation) ownRecord = { ...ownRecord, generation }
    return ownRecord
  }

  const notify = (): void => { for (const listen of listeners) listen() }

  const storeMember = (member: Member, isRecentChange = true): void => {
    const before = peers.get(member.nodeId)
    if (before === member) return
    peers.set(member.nodeId, member)
    if (before?.state === member.state && before.incarnation === member.incarnation) return
    changedAt.set(member.nodeId, clock.now())
    if (isRecentChange || before !== undefined) gossipQueue.add(member.nodeId)
    logger?.info('member changed', { member: member.nodeId, state: member.state, incarnation: member.incarnation })
    notify()
  }

  const mergeOwnRecord = (reported: Member): void => {
    const refuted = refuteSuspicion(self(), reported)
    if (refuted === ownRecord) return
    ownRecord = refuted
    logger?.warn('refuted a rumour about this node', { state: reported.state, incarnation: refuted.incarnation })
  }

  const merge = (member: Member, isRecentChange = true): void => {
    if (member.nodeId === settings.nodeId) return mergeOwnRecord(member)
    const known = peers.get(member.nodeId)
    if (known === undefined && member.state === 'dead') return
    storeMember(mergeMember(known, member), isRecentChange)
  }

  const sendTo = (receiver: Member, updates: readonly Member[]): void => {
    const isKnownToReceiver = (member: Member): boolean => member.nodeId === receiver.nodeId && member.state === 'live'
    const updatesToSend = updates.filter((member) => !isKnownToReceiver(member))
    transport.send(receiver.address, { kind: 'heartbeat', member: self(), rumours: updatesToSend, ...exchange.collect(receiver) })
  }

  const sendHeartbeat = (address: PeerAddress, updates: readonly Member[], flags: HeartbeatFlags = {}): void => {
    transport.send(address, { kind: 'heartbeat', member: self(), rumours: updates, ...flags })
  }

  const sendAllMembers = (newcomer: Member): void => {
    const all = [...peers.values()].filter((member) => member.nodeId !== newcomer.nodeId)
    for (let start = 0; start < all.length; start += MEMBERS_PER_HEARTBEAT) sendHeartbeat(newcomer.address, all.slice(start, start + MEMBERS_PER_HEARTBEAT), { isRoster: true })
  }

  const onHeartbeat = (heartbeat: Heartbeat): void => {
    const { member } = heartbeat
    if (member.nodeId === settings.nodeId) return mergeOwnRecord(member)
    merge(member)
    failureDetector.recordHeartbeat(member.nodeId, clock.now())
    const held = peers.get(member.nodeId)
    // The sender is up although the fleet has it as suspect or dead: it was paused or
    // cut off, and its own record cannot override that. The reply lets it refute the suspicion.
    if (held !== undefined && held.state !== member.state) sendHeartbeat(member.address, [held])
    for (const update of heartbeat.rumours) merge(update, heartbeat.isRoster !== true)
    if (heartbeat.membersWanted === true) sendAllMembers(member)
    if (heartbeat.echoWanted === true) sendHeartbeat(member.address, [])
    exchange.deliver(heartbeat)
  }

  const listReachablePeers = (): readonly Member[] => [...peers.values()].filter((peer) => peer.state !== 'dead')

  const suspectUnresponsive = (now: number): void => {
    for (const nodeId of failureDetector.findUnresponsive(now, settings.suspectAfterMs)) {
      const peer = peers.get(nodeId)
      if (peer?.state === 'live') storeMember({ ...peer, state: 'suspect' })
      // A leaving node stops sending heartbeats by design and is not suspected first.
      if (peer?.state === 'leaving' && failureDetector.findUnresponsive(now, settings.deadAfterMs).includes(nodeId)) storeMember({ ...peer, state: 'dead' })
    }
  }

  // Requests a heartbeat before a peer is suspected: nodes with different views disagree on who watches whom.
  // A node that correctly sends its heartbeats to others would be suspected, and the gossip about it and its
  // refutation would keep the views different.
  const requestHeartbeats = (now: number): void => {
    for (const nodeId of failureDetector.findUnresponsive(now, settings.suspectAfterMs / 2)) {
      const peer = peers.get(nodeId)
      if (peer?.state === 'live') sendHeartbeat(peer.address, [], { echoWanted: true })
    }
  }

  // Requests the member list more than once: when all nodes start at once, the first peer
  // knows few members yet, and gossip about every join takes many rounds.
  const requestMembers = (now: number): void => {
    if (memberRequests >= MAXIMUM_MEMBER_REQUESTS || now < startedAt + (memberRequests + 1) * MEMBER_REQUEST_INTERVAL_MS) return
    const reachable = listReachablePeers()
    const peer = reachable[Math.floor(random.next() * reachable.length)]
    if (peer === undefined) return
    memberRequests += 1
    sendHeartbeat(peer.address, [], { membersWanted: true })
  }

  const declareDead = (now: number): void => {
    const graceMs = settings.deadAfterMs - settings.suspectAfterMs
    for (const [nodeId, peer] of peers) {
      const since = changedAt.get(nodeId) ?? now
      if (peer.state === 'suspect' && now - since >= graceMs) storeMember({ ...peer, state: 'dead' })
      if (peer.state === 'dead' && now - since >= (options.forgetAfterMs ?? DEFAULT_FORGET_AFTER_MS)) forget(nodeId)
    }
  }

  const forget = (nodeId: string): void => {
    peers.delete(nodeId)
    changedAt.delete(nodeId)
  }

  /** Lists addresses at which a node may run that is not among the reachable members. */
  const findUnknownAddresses = (): readonly PeerAddress[] => {
    const listed = (vmList.current() ?? []).filter((vm) => vm.kind === 'router').map((vm) => parseAddress(vm.address))
    const dead = [...peers.values()].filter((peer) => peer.state === 'dead').map((peer) => peer.address)
    const known = [self().address, ...listReachablePeers().map((peer) => peer.address)]
    const candidates = [...settings.seedPeers, ...listed, ...dead]
    return candidates.filter((address) => !known.some((other) => isSame(other, address)))
  }

  // The two sides of a healed partition have each other as dead and exchange no heartbeats.
  // Contacting a few addresses of dead members and of seeds at each tick joins them again.
  const contactUnknownAddresses = (): void => {
    const isAlone = listReachablePeers().length === 0
    const unknownAddresses = [...findUnknownAddresses()]
    const count = isAlone ? CONTACTS_PER_TICK_ALONE : CONTACTS_PER_TICK
    for (let contacted = 0; contacted < count && unknownAddresses.length > 0; contacted++) {
      const [address] = unknownAddresses.splice(Math.floor(random.next() * unknownAddresses.length), 1)
      sendHeartbeat(address!, [], isAlone ? { membersWanted: true } : {})
    }
  }

  const sendHeartbeats = (): void => {
    const targets = selectHeartbeatTargets(self(), listReachablePeers(), fanOut, random.next)
    failureDetector.watch(targets.watched.map((peer) => peer.nodeId), clock.now())
    const updates = gossipQueue.take(peers, random.next)
    for (const receiver of [...targets.watchers, ...targets.randomPeers]) sendTo(receiver, updates)
  }

  const tick = (): void => {
    const now = clock.now()
    // After a pause of this process all heartbeats look overdue, because this node did not
    // process them. Evaluating them now would declare the whole fleet dead.
    if (now - lastTickAt > PAUSE_TICKS * settings.heartbeatIntervalMs) failureDetector.reset(now)
    lastTickAt = now
    // Without heartbeats, peers take this node for dead: no step may keep the others from running.
    for (const step of [suspectUnresponsive, declareDead, sendHeartbeats, requestHeartbeats, requestMembers, contactUnknownAddresses]) containStep(() => step(now), onThrown)
    const isSearching = listReachablePeers().length === 0 && now < startedAt + PEER_SEARCH_LIMIT_MS
    timer = clock.setTimer(isSearching ? PEER_SEARCH_INTERVAL_MS : settings.heartbeatIntervalMs, tick)
  }

  return {
    api: {
      self,
      members: () => [self(), ...peers.values()],
      liveMembers: () => [self(), ...peers.values()].filter((member) => member.state === 'live'),
      announceLeaving: () => {
        ownRecord = { ...self(), state: 'leaving', incarnation: ownRecord.incarnation + 1 }
        sendHeartbeats()
        notify()
      },
      onChange: (listener) => { listeners.push(listener) }
    },
    start: () => {
      ownRecord = { ...ownRecord, address: options.address() }
      transport.handle('heartbeat', (heartbeat) => {
        onHeartbeat(heartbeat)
        return { kind: 'none' }
      })
      startedAt = clock.now()
      tick()
    },
    stop: () => timer?.cancel()
  }
}

const parseAddress = (text: string): PeerAddress => {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}
