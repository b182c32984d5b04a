/**
 * Admission queue of one service: admits requests while this node has free
 * slots, queues them in weighted fair order (by tokens) when it has none, and
 * refuses requests that the queue can't hold or serve before their deadline.
 */
import { failure, success } from '../../../kernel/index.js'
import { selectOverShareAccount } from '../../../decisions/selectOverShareAccount/index.js'
import type { QueuedContender } from '../../../decisions/selectOverShareAccount/index.js'
import { selectNextAccount } from '../../../decisions/selectNextAccount/index.js'
import type { AdmissionDemand, AdmissionRefusal, AdmissionTicket, Clock, RefusalReason, Result, Timer } from '../../../types/index.js'
import type { AdmissionOptions } from '../index.js'
import { createThroughputEstimate } from './createThroughputEstimate.js'
import type { UsageRecord } from './createUsageRecord.js'
import { createWaitingList } from './createWaitingList.js'
import type { WaitingAccount, WaitingList, WaitingRequest } from './createWaitingList.js'

const MINIMUM_RETRY_AFTER_MS = 250

const MAXIMUM_RETRY_AFTER_MS = 60_000

/** Pseudo accounts in the usage record that sum up overnight requests and all requests. */
const CLASS_OVERNIGHT = '\u0000overnight'
const CLASS_ALL = '\u0000all'

export type ServiceQueueDependencies = {
  readonly clock: Clock
  readonly usage: UsageRecord
  /** Usage by priority class; separate from `usage`, which is published to peers. */
  readonly classUsage: UsageRecord
  readonly countSlots: () => number
  readonly findWeight: (clientAccount: string) => number
  readonly recordWait: (waitMs: number) => void
}

export type ServiceQueue = {
  readonly admit: (demand: AdmissionDemand) => Promise<Result<AdmissionTicket, AdmissionRefusal>>
  readonly length: () => number
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
  const { clock, usage, classUsage, countSlots, findWeight, recordWait } = dependencies
  const interactive = createWaitingList()
  const overnight = createWaitingList()
  const throughput = createThroughputEstimate(clock, options.usageHalfLifeMs)
  let running = 0
  let pollTimer: Timer | undefined

  const countWaiting = (): number => interactive.length() + overnight.length()

  const describe = (account: WaitingAccount): QueuedContender => ({
    ...account,
    weight: findWeight(account.clientAccount),
    usage: usage.measureFleet(service, account.clientAccount)
  })

  const charge = (demand: AdmissionDemand, tokens: number): void => {
    usage.charge(service, demand.clientAccount, tokens)
    classUsage.charge(service, CLASS_ALL, tokens)
    if (demand.overnight) classUsage.charge(service, CLASS_OVERNIGHT, tokens)
  }

  const createTicket = (demand: AdmissionDemand): AdmissionTicket => {
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
        admitWaiting()
      }
    }
  }

  /** Overnight requests go first only while their usage is below their configured share. */
  const selectList = (): WaitingList => {
    if (interactive.length() === 0) return overnight
    if (overnight.length() === 0) return interactive
    const share = classUsage.measureFleet(service, CLASS_OVERNIGHT)
    return share < options.overnightShare * classUsage.measureFleet(service, CLASS_ALL) ? overnight : interactive
  }

  const takeNext = (): WaitingRequest | undefined => {
    const list = selectList()
    const next = selectNextAccount(list.accounts().map(describe))
    return next === undefined ? undefined : list.takeOldest(next)
  }

  const admitWaiting = (): void => {
    while (countWaiting() > 0 && running < countSlots()) {
      const request = takeNext()
      if (request === undefined) break
      recordWait(clock.now() - request.since)
      request.settle(success(createTicket(request.demand)))
    }
    pollWhileWaiting()
  }

  // Slots are also freed by other nodes and added with new backend servers. No event
  // announces this, so the queue polls while requests wait.
  const pollWhileWaiting = (): void => {
    if (countWaiting() === 0 || pollTimer !== undefined) return
    pollTimer = clock.setTimer(options.pollIntervalMs, () => {
      pollTimer = undefined
      admitWaiting()
    })
  }

  const estimateWaitMs = (demand: AdmissionDemand): number => {
    const waiting = [...interactive.accounts(), ...(demand.overnight ? overnight.accounts() : [])]
    const others = waiting.filter((account) => account.clientAccount !== demand.clientAccount)
    const ownTokens = waiting.find((account) => account.clientAccount === demand.clientAccount)?.queuedTokens ?? 0
    const weight = findWeight(demand.clientAccount)
    const allWeights = others.reduce((sum, account) => sum + findWeight(account.clientAccount), weight)
    const tokensAhead = Math.min(
      ownTokens * allWeights / weight,
      waiting.reduce((sum, account) => sum + account.queuedTokens, 0)
    )
    return throughput.estimateMs(tokensAhead)
  }

  const refuse = (demand: AdmissionDemand, reason: RefusalReason): Result<AdmissionTicket, AdmissionRefusal> => {
    const waitMs = estimateWaitMs(demand)
    return failure({ reason, retryAfterMs: Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, Math.ceil(waitMs))) })
  }

  const selectListFor = (demand: AdmissionDemand): WaitingList => demand.overnight ? overnight : interactive

  const isAccountFull = (demand: AdmissionDemand): boolean =>
    (selectListFor(demand).find(demand.clientAccount)?.length ?? 0) >= options.maximumQueuedPerAccount

  /** Evicts a request of the account furthest over its share; returns false when that is the account of the new request. */
  const makeRoom = (demand: AdmissionDemand): boolean => {
    const overnightWorst = selectOverShareAccount(overnight.accounts().map(describe))
    if (!demand.overnight && overnightWorst !== undefined) return evict(overnight, overnightWorst)
    if (demand.overnight && overnightWorst === undefined) return false
    const list = selectListFor(demand)
    const known = list.find(demand.clientAccount)
    const newContender = { clientAccount: demand.clientAccount, waitingSince: clock.now(), queuedTokens: (known?.queuedTokens ?? 0) + demand.tokens, length: 0 }
    const contenders = [...list.accounts().filter((account) => account.clientAccount !== demand.clientAccount), newContender]
    const worst = selectOverShareAccount(contenders.map(describe))
    return worst !== undefined && worst !== demand.clientAccount && evict(list, worst)
  }

  const evict = (list: WaitingList, clientAccount: string): boolean => {
    const evicted = list.takeNewest(clientAccount)
    evicted?.settle(refuse(evicted.demand, 'overShare'))
    return evicted !== undefined
  }

  const enqueue = (demand: AdmissionDemand): Promise<Result<AdmissionTicket, AdmissionRefusal>> => new Promise((resolve) => {
    const list = selectListFor(demand)
    const refuseWaiting = (reason: RefusalReason): void => {
      if (list.remove(request)) request.settle(refuse(demand, reason))
    }
    const timer = clock.setTimer(Math.max(0, demand.deadlineAt - clock.now()), () => { refuseWaiting('deadline') })
    const cancel = (): void => { refuseWaiting('cancelled') }
    const request: WaitingRequest = {
      demand,
      since: clock.now(),
      settle: (result) => {
        timer.cancel()
        demand.signal.removeEventListener('abort', cancel)
        resolve(result)
      }
    }
    demand.signal.addEventListener('abort', cancel)
    list.add(request)
    admitWaiting()
  })

  const admit = async (demand: AdmissionDemand): Promise<Result<AdmissionTicket, AdmissionRefusal>> => {
    if (demand.signal.aborted) return refuse(demand, 'cancelled')
    if (clock.now() >= demand.deadlineAt) return refuse(demand, 'deadline')
    if (countWaiting() === 0 && running < countSlots()) {
      recordWait(0)
      return success(createTicket(demand))
    }
    if (clock.now() + estimateWaitMs(demand) >= demand.deadlineAt) return refuse(demand, 'deadline')
    if (isAccountFull(demand)) return refuse(demand, 'queueFull')
    if (countWaiting() >= options.maximumQueued && !makeRoom(demand)) return refuse(demand, 'overShare')
    return await enqueue(demand)
  }

  return { admit, length: countWaiting }
}
