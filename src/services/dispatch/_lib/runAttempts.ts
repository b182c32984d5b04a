/** Tries one backend server after another until there is a final answer. */
import { verifyChatHint } from '../../../decisions/verifyChatHint/index.js'
import { createRefusal } from '../../../decisions/createRefusal/index.js'
import type { Placement, Refusal, RefusalOutcome, RefusalReason, StoredAnswer } from '../../../types/index.js'
import type { AttemptEnd } from './attemptEnd.js'
import { createRetryPlanner, type RetryPlanner } from './createRetryPlanner.js'
import type { TokenUsage } from './readTokenUsage.js'
import { isIdempotent, type RequestContext } from './requestContext.js'
import { runAttempt } from './runAttempt.js'

export type RequestResult =
  | { readonly kind: 'complete', readonly stored?: StoredAnswer, readonly usage?: TokenUsage }
  | { readonly kind: 'refused', readonly refusal: Refusal }

/** Backend server that served the chat last, and whether the hint came from the caller. */
type Hint = { readonly backendServer?: string, readonly isFromCaller: boolean }

const lookUpHint = async ({ dependencies, hintAuthenticator, routed, scope }: RequestContext): Promise<Hint> => {
  if (routed.serviceKind !== 'model') return { isFromCaller: false }
  const fromCaller = routed.hint === undefined
    ? undefined
    : verifyChatHint(routed.hint, routed.clientAccount.name, routed.chatKey, hintAuthenticator)
  if (fromCaller !== undefined) return { backendServer: fromCaller, isFromCaller: true }
  if (routed.isNewChat) return { isFromCaller: false }
  const fromDirectory = await scope.race(dependencies.chatDirectory.lookUp(routed.chatKey))
  return { isFromCaller: false, ...(fromDirectory === undefined ? {} : { backendServer: fromDirectory }) }
}

/** Offers a retry only where it is safe: when the request did not run, or when it may run twice. */
const refuse = (context: RequestContext, outcome: RefusalOutcome, reason: RefusalReason, message: string, suggestedRetryAfterMs?: number): RequestResult => {
  const isRetrySafe = outcome === 'not-run' || isIdempotent(context)
  const retryAfterMs = isRetrySafe ? suggestedRetryAfterMs ?? context.limits.defaultRetryAfterMs : undefined
  return { kind: 'refused', refusal: createRefusal(outcome, reason, message, retryAfterMs) }
}

/** Final refusal of a request that its caller or its deadline has ended. */
const refuseEndedRequest = (context: RequestContext, planner: RetryPlanner): RequestResult => {
  const outcome = planner.mayHaveRun() ? 'unknown' : 'not-run'
  return context.scope.endCause() === 'hungUp'
    ? refuse(context, outcome, 'cancelled', 'the caller hung up')
    : refuse(context, outcome, 'deadline', 'the deadline has passed')
}

const completeWith = ({ stored, usage }: Extract<AttemptEnd, { kind: 'delivered' }>): RequestResult => ({
  kind: 'complete',
  ...(stored === undefined ? {} : { stored }),
  ...(usage === undefined ? {} : { usage })
})

const choosePlacement = ({ dependencies, routed }: RequestContext, planner: RetryPlanner, hint: Hint): Placement => dependencies.placement.choose({
  service: routed.route.service,
  chatKey: routed.chatKey,
  isNewChat: routed.isNewChat,
  excluded: planner.excluded,
  ...(hint.backendServer === undefined ? {} : { hintedBackendServer: hint.backendServer })
})

const refuseUnplaced = (context: RequestContext, planner: RetryPlanner, placement: Extract<Placement, { kind: 'none' }>): RequestResult => {
  const outcome = planner.mayHaveRun() ? 'unknown' : 'not-run'
  return refuse(context, outcome, placement.reason, 'no backend server takes the request', placement.retryAfterMs)
}

/** Stores the server in the chat directory, unless the caller's own hint names it already. */
const storeServer = ({ dependencies, routed }: RequestContext, hint: Hint, backendServer: string): void => {
  const isHintCurrent = hint.isFromCaller && hint.backendServer === backendServer
  if (routed.serviceKind === 'model' && !isHintCurrent) dependencies.chatDirectory.store(routed.chatKey, backendServer)
}

/** Final refusal after a failed attempt; `undefined` once the delay before the next attempt has passed. */
const handleFailure = async (context: RequestContext, planner: RetryPlanner, end: Exclude<AttemptEnd, { kind: 'delivered' }>): Promise<RequestResult | undefined> => {
  const { dependencies, scope, retryAllowance } = context
  if (scope.signal.aborted) return refuseEndedRequest(context, planner)
  if (end.kind === 'callerLeft') return refuse(context, 'unknown', 'cancelled', 'the caller left')
  const plan = planner.plan(end.attempt)
  dependencies.metrics.count('retries', { decision: plan.kind })
  if (plan.kind !== 'retryElsewhere') {
    const { outcome, reason } = plan.kind === 'refuse' ? plan : { outcome: 'unknown' as const, reason: 'answerIncomplete' as const }
    return refuse(context, outcome, reason, end.message)
  }
  retryAllowance.spend()
  return await scope.wait(plan.delayMs) ? undefined : refuseEndedRequest(context, planner)
}

/**
 * Runs a request that was admitted and, where its route requires it, claimed.
 * A complete answer is written to the reply here; a refusal is returned to the
 * calling function, which may have to release a claim first.
 */
export const runAttempts = async (context: RequestContext): Promise<RequestResult> => {
  const planner = createRetryPlanner(context)
  const hint = await lookUpHint(context)
  for (;;) {
    if (context.scope.signal.aborted) return refuseEndedRequest(context, planner)
    const placement = choosePlacement(context, planner, hint)
    if (placement.kind === 'none') return refuseUnplaced(context, planner, placement)
    const { name } = placement.backendServer
    // The attempt is counted as load before other requests can run, or a burst would all choose the same server.
    const end = await runAttempt(context, planner, placement.backendServer)
    if (end.kind === 'delivered') {
      storeServer(context, hint, name)
      return completeWith(end)
    }
    planner.recordFailure(end.attempt, name)
    const finalResult = await handleFailure(context, planner, end)
    if (finalResult !== undefined) return finalResult
  }
}
