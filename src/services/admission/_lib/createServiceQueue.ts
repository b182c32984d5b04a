/**
 * Admission queue of one service: admits requests while there is room, queues them in
 * weighted fair order (by tokens) when there is none, and refuses requests that the
 * queue can't hold or serve in time.
 */
import { failure, success } from '../../../kernel/index.js'
import { estimateWait } from '../../../decisions/estimateWait/index.js'
import { estimateWorkAhead } from '../../../decisions/estimateWorkAhead/index.js'
import { listOverShareAccounts } from '../../../decisions/listOverShareAccounts/index.js'
import type { QueuedContender } from '../../../decisions/selectOverShareAccount/index.js'
import { selectOvertaken } from '../../../decisions/selectOvertaken/index.js'
import { selectNextAccount } from '../../../decisions/selectNextAccount/index.js'
import type { AdmissionRefusal, AdmissionTicket, Clock, QueueState, RefusalReason, Result, Timer, WaitingDemand, WaitingPlace } from '../../../types/index.js'
import type { AdmissionOptions } from '../index.js'
import { createQueueLists } from './createQueueLists.js'
import type { HeldBytes } from './createHeldBytes.js'
import { createThroughputEstimate } from './createThroughputEstimate.js'
import { selectEviction } from './selectEviction.js'
import type { UsageRecord } from './createUsageRecord.js'
import type { WaitingAccount, WaitingList, WaitingRequest } from './createWaitingList.js'

const MINIMUM_RETRY_AFTER_MS = 250

const MAXIMUM_RETRY_AFTER_MS = 60_000

/** Waiting requests that give way to one new request at most. */
const MAXIMUM_EVICTIONS = 16

/** Pseudo accounts in the usage record that sum up overnight requests and all requests. */
const CLASS_OVERNIGHT = '\u0000overnight'
const CLASS_ALL = '\u0000all'

const sumQueued = (accounts: readonly WaitingAccount[]): number => accounts.reduce((sum, { queuedTokens }) => sum + queuedTokens, 0)

export type Settle = (outcome: Result<AdmissionTicket, AdmissionRefusal>) => void

export type ServiceQueueDependencies = {
  readonly clock: Clock
  readonly usage: UsageRecord
  /** Usage by priority class; separate from `usage`, which is published to peers. */
  readonly classUsage: UsageRecord
  readonly countSlots: () => number
  readonly countEqualPart: () => number
  readonly findWeight: (clientAccount: string) => number
  readonly recordWait: (waitMs: number) => void
  readonly heldBytes: HeldBytes
}

export type ServiceQueue = {
  readonly enter: (demand: WaitingDemand, settle: Settle) => WaitingPlace
  readonly length: () => number
  /** Number of accounts with waiting requests that are over their share. */
  readonly countOverShare: () => number
}

/**
 * Creates the queue of one service.
 *
 * @param service - Name of the service.
 * @param dependencies - Clock, usage, slots and weights.
 * @param options - Limits and shares.
 * @returns The queue.
 */
export const createServiceQueue = (service: string, dependencies: ServiceQueueDependencies, options: AdmissionOptions): ServiceQueue => {
  const { clock, usage, classUsage, countSlots, countEqualPart, findWeight, recordWait, heldBytes } = dependencies
  const lists = createQueueLists(options.order)
  const throughput = createThroughputEstimate(clock, options.usageHalfLifeMs)
  let running = 0
  let pollTimer: Timer | undefined
  let isAdmitting = false

  const describe = <Account extends Pick<WaitingAccount, 'clientAccount' | 'waitingSince' | 'queuedTokens'>>(account: Account): Account & QueuedContender => ({
    ...account,
    weight: findWeight(account.clientAccount),
    usage: usage.measureFleet(service, account.clientAccount)
  })

  const charge = (demand: WaitingDemand, tokens: number): void => {
    usage.charge(service, demand.clientAccount, tokens)
    classUsage.charge(service, CLASS_ALL, tokens)
    if (demand.overnight) classUsage.charge(service, CLASS_OVERNIGHT, tokens)
  }

  const createTicket = (demand: WaitingDemand): AdmissionTicket => {
    const startedAt = clock.now()
    let isFinished = false
    running += 1
    charge(demand, demand.tokens)
    return {
      finish: (tokensUsed) => {
        if (isFinished) return
        isFinished = true
        running -= 1
        charge(demand, tokensUsed - demand.tokens)
        throughput.record(tokensUsed)
        if (tokensUsed > 0) throughput.recordRun(clock.now() - startedAt, tokensUsed)
        admitWaiting()
      }
    }
  }

  // A node that has nothing running at the service always sends one request, whatever its counts of other nodes say:
  // counts that stay wrong would otherwise keep its callers waiting without end.
  const hasRoomFor = ({ hasRoom }: WaitingDemand): boolean => hasRoom === undefined ? running < countSlots() : running === 0 || hasRoom()

  /** Overnight requests go first only while their usage is below their configured share. */
  const selectList = (): WaitingList | undefined => {
    const [first, ...rest] = lists.list()
    if (first === undefined || rest.length === 0 || options.order === 'priority') return first
    const share = classUsage.measureFleet(service, CLASS_OVERNIGHT)
    return share < options.overnightShare * classUsage.measureFleet(service, CLASS_ALL) ? rest.at(-1) : first
  }

  const remove = (request: WaitingRequest): boolean => {
    const isRemoved = lists.find(request.demand)?.remove(request) === true
    if (isRemoved) heldBytes.add(-(request.demand.bytes ?? 0))
    return isRemoved
  }

  const findNext = (): WaitingRequest | undefined => {
    const list = selectList()
    const next = list === undefined ? undefined : selectNextAccount(list.accounts().map(describe))
    return next === undefined ? undefined : list?.peekOldest(next)
  }

  const admitWaiting = (): void => {
    // A request that is sent or refused as soon as it is admitted may end in the same turn.
    if (isAdmitting) return
    isAdmitting = true
    for (let next = findNext(); next !== undefined && hasRoomFor(next.demand); next = findNext()) {
      if (!remove(next)) break
      recordWait(clock.now() - next.since)
      next.settle(success(createTicket(next.demand)))
    }
    isAdmitting = false
    pollWhileWaiting()
  }

  // Slots are also freed by other nodes and added with new backend servers. No event
  // announces this, so the queue polls while requests wait.
  const pollWhileWaiting = (): void => {
    if (lists.length() === 0 || pollTimer !== undefined) return
    pollTimer = clock.setTimer(options.pollIntervalMs, () => {
      pollTimer = undefined
      admitWaiting()
      if (options.order === 'priority') {
        refuseOvertaken()
        refuseHopeless()
      }
    })
  }

  const estimateClassWaitMs = (demand: WaitingDemand, ownTokens: number): number => {
    const { urgent, same } = lists.listAhead(demand)
    const waiting = [...urgent, ...same]
    const others = waiting.filter((account) => account.clientAccount !== demand.clientAccount)
    const weight = findWeight(demand.clientAccount)
    const allWeights = others.reduce((sum, account) => sum + findWeight(account.clientAccount), weight)
    return throughput.estimateMs(Math.min(ownTokens * allWeights / weight, sumQueued(waiting)))
  }

  const estimatePriorityWaitMs = (demand: WaitingDemand, ownTokens: number): number => {
    const { urgent, same } = lists.listAhead(demand)
    const { clientAccount, tokens } = demand
    const own = describe({ clientAccount, waitingSince: clock.now(), queuedTokens: ownTokens })
    const others = same.filter((account) => account.clientAccount !== clientAccount).map(describe)
    const { durationMs, tokens: meanTokens } = throughput.meanRun()
    return estimateWait({
      tokensAhead: sumQueued(urgent) + estimateWorkAhead({ own, tokens, others }) + tokens,
      tokensPerMs: throughput.tokensPerMs(),
      meanTokens,
      meanDurationMs: durationMs,
      slots: Math.max(running, countEqualPart())
    })
  }

  /** Estimates the wait of a request before which its account has `ownTokens` of work waiting in the same list. */
  const estimateWaitMs = options.order === 'classes' ? estimateClassWaitMs : estimatePriorityWaitMs

  const estimateForNew = (demand: WaitingDemand): number => {
    const { urgent, same } = lists.listAhead(demand)
    const own = (options.order === 'classes' ? [...urgent, ...same] : same).find((account) => account.clientAccount === demand.clientAccount)
    return estimateWaitMs(demand, own?.queuedTokens ?? 0)
  }

  const readState = (demand: WaitingDemand): QueueState =>
    ({ queueLength: lists.length(), expectedWaitMs: estimateForNew(demand), accountTokens: usage.measureFleet(service, demand.clientAccount) })

  const refuse = (demand: WaitingDemand, reason: RefusalReason): Result<AdmissionTicket, AdmissionRefusal> => {
    const state = readState(demand)
    return failure({ reason, retryAfterMs: Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, Math.ceil(state.expectedWaitMs))), state })
  }

  const refuseWaiting = (request: WaitingRequest, reason: RefusalReason): void => {
    if (remove(request)) request.settle(refuse(request.demand, reason))
  }

  /** Refuses the requests that are late anyway while others can still be on time. */
  const refuseOvertaken = (): void => {
    const waiting = lists.list().flatMap((list) => list.requests()).map((request) => ({
      request,
      priority: request.demand.priority ?? 0,
      onTimeUntil: request.demand.onTimeUntil ?? request.demand.deadlineAt
    }))
    for (const { request } of selectOvertaken(waiting, clock.now())) refuseWaiting(request, 'deadline')
  }

  /** Refuses the requests that more urgent arrivals have pushed back beyond their limit, the least urgent first. */
  const refuseHopeless = (): void => {
    for (const list of [...lists.list()].reverse()) {
      for (const { clientAccount, queuedTokens } of list.accounts()) {
        let ownTokens = queuedTokens
        for (let last = list.peekNewest(clientAccount); last !== undefined; last = list.peekNewest(clientAccount)) {
          ownTokens -= last.demand.tokens
          if (clock.now() + estimateWaitMs(last.demand, ownTokens) < last.demand.deadlineAt) break
          refuseWaiting(last, 'deadline')
        }
      }
    }
  }

  const isAccountFull = (demand: WaitingDemand): boolean => (lists.measureAccount(demand.clientAccount, demand).length) >= options.maximumQueuedPerAccount

  const holds = (demand: WaitingDemand): boolean => lists.length() < options.maximumQueued && heldBytes.hasRoom(demand.bytes ?? 0, lists.measureAccount(demand.clientAccount).bytes)

  const isInTime = (demand: WaitingDemand): boolean => clock.now() + estimateForNew(demand) < demand.deadlineAt

  /** Evicts waiting requests that come after the new one until it can wait; returns why it is refused if it can't. */
  const makeRoom = (demand: WaitingDemand): RefusalReason | undefined => {
    for (let evictions = 0; evictions < MAXIMUM_EVICTIONS; evictions += 1) {
      const isLate = !isInTime(demand)
      if (!isLate && holds(demand)) return undefined
      if (isLate && options.order === 'classes') return 'deadline'
      if (isAccountFull(demand)) return 'queueFull'
      const eviction = selectEviction({ demand, lists, describe, order: options.order, isLate, now: clock.now() })
      if (eviction.kind === 'newcomer') return eviction.reason
      refuseWaiting(eviction.request, eviction.reason)
    }
    return 'queueFull'
  }

  const enqueue = (demand: WaitingDemand, settle: Settle): WaitingRequest => {
    const timer = clock.setTimer(Math.max(0, demand.deadlineAt - clock.now()), () => { refuseWaiting(request, 'deadline') })
    const request: WaitingRequest = {
      demand,
      since: clock.now(),
      settle: (outcome) => {
        timer.cancel()
        settle(outcome)
      }
    }
    lists.open(demand).add(request)
    heldBytes.add(demand.bytes ?? 0)
    return request
  }

  const enter: ServiceQueue['enter'] = (demand, settle) => {
    const state = readState(demand)
    const end = (outcome: Result<AdmissionTicket, AdmissionRefusal>): WaitingPlace => {
      settle(outcome)
      return { state, leave: () => { /* does not wait */ } }
    }
    if (clock.now() >= demand.deadlineAt && (options.order === 'classes' || !hasRoomFor(demand))) return end(refuse(demand, 'deadline'))
    if (lists.length() === 0 && hasRoomFor(demand)) {
      recordWait(0)
      return end(success(createTicket(demand)))
    }
    const reason = isAccountFull(demand) && isInTime(demand) ? 'queueFull' : makeRoom(demand)
    if (reason !== undefined) return end(refuse(demand, reason))
    const request = enqueue(demand, settle)
    admitWaiting()
    return { state, leave: () => refuseWaiting(request, 'cancelled') }
  }

  return {
    enter,
    length: lists.length,
    countOverShare: () => listOverShareAccounts(lists.listAccounts().map(describe)).length
  }
}
