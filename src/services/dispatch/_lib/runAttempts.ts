/** Attempts at one backend server after another, until there is a final answer. */
import { verifyChatHint } from '../../../decisions/verifyChatHint/index.js'
import { describeRefusal } from '../../../decisions/describeRefusal/index.js'
import type { Refusal, RefusalOutcome, RefusalReason, StoredAnswer } from '../../../types/index.js'
import type { AttemptEnd } from './attemptEnd.js'
import { createRetryPlanner, type RetryPlanner } from './createRetryPlanner.js'
import type { TokenUsage } from './readTokenUsage.js'
import { mayRepeat, type RequestContext } from './requestContext.js'
import { runAttempt } from './runAttempt.js'

export type RequestResult =
  | { readonly kind: 'complete', readonly stored?: StoredAnswer, readonly usage?: TokenUsage }
  | { readonly kind: 'refused', readonly refusal: Refusal }

const findHint = async ({ dependencies, hintAuthenticator, routed, scope }: RequestContext): Promise<{ readonly backendServer?: string, readonly isFromCaller: boolean }> => {
  if (routed.serviceKind !== 'model') return { isFromCaller: false }
  const fromCaller = routed.hint === undefined
    ? undefined
    : verifyChatHint(routed.hint, routed.clientAccount.name, routed.chatKey, hintAuthenticator)
  if (fromCaller !== undefined) return { backendServer: fromCaller, isFromCaller: true }
  if (routed.isNewChat) return { isFromCaller: false }
  const fromDirectory = await scope.race(dependencies.chatDirectory.lookUp(routed.chatKey))
  return { isFromCaller: false, ...(fromDirectory === undefined ? {} : { backendServer: fromDirectory }) }
}

/** A repeat is only offered where it is safe: for a request that did not run, or one that may run twice. */
const refuse = (context: RequestContext, outcome: RefusalOutcome, reason: RefusalReason, message: string, comeBackAfterMs?: number): RequestResult => {
  const isRepeatSafe = outcome === 'not-run' || mayRepeat(context)
  const retryAfterMs = isRepeatSafe ? comeBackAfterMs ?? context.limits.comeBackAfterMs : undefined
  return { kind: 'refused', refusal: describeRefusal(outcome, reason, message, retryAfterMs) }
}

/** The final answer to a request that its caller or its deadline has ended. */
const refuseEnded = (context: RequestContext, planner: RetryPlanner): RequestResult => {
  const outcome = planner.mayHaveRun() ? 'unknown' : 'not-run'
  return context.scope.ended() === 'hungUp'
    ? refuse(context, outcome, 'cancelled', 'the caller hung up')
    : refuse(context, outcome, 'deadline', 'the deadline has passed')
}

const completeWith = ({ stored, usage }: Extract<AttemptEnd, { kind: 'delivered' }>): RequestResult => ({
  kind: 'complete',
  ...(stored === undefined ? {} : { stored }),
  ...(usage === undefined ? {} : { usage })
})

/**
 * Runs a request that was admitted, and claimed where its route needs that.
 * A complete answer has gone into the reply; a refusal is left to the caller
 * of this function, which may have a claim to give back first.
 */
export const runAttempts = async (context: RequestContext): Promise<RequestResult> => {
  const { dependencies, routed, scope, retryAllowance } = context
  const planner = createRetryPlanner(context)
  const hint = await findHint(context)

  for (;;) {
    if (scope.signal.aborted) return refuseEnded(context, planner)
    const placement = dependencies.placement.choose({
      service: routed.route.service,
      chatKey: routed.chatKey,
      isNewChat: routed.isNewChat,
      excluded: planner.excluded,
      ...(hint.backendServer === undefined ? {} : { hintedBackendServer: hint.backendServer })
    })
    if (placement.kind === 'none') {
      const outcome = planner.mayHaveRun() ? 'unknown' : 'not-run'
      return refuse(context, outcome, placement.reason, 'no backend server takes the request', placement.retryAfterMs)
    }
    const { backendServer } = placement
    // The attempt counts as load before anything else can run, so that a burst does not choose one server for all.
    const end = await runAttempt(context, planner, backendServer)
    if (end.kind === 'delivered') {
      const isKnownToCaller = hint.isFromCaller && hint.backendServer === backendServer.name
      if (routed.serviceKind === 'model' && !isKnownToCaller) dependencies.chatDirectory.store(routed.chatKey, backendServer.name)
      return completeWith(end)
    }
    planner.recordFailure(end.attempt, backendServer.name)
    if (scope.signal.aborted) return refuseEnded(context, planner)
    if (end.kind === 'callerLeft') return refuse(context, 'unknown', 'cancelled', 'the caller left')
    const plan = planner.plan(end.attempt)
    dependencies.metrics.count('retries', { decision: plan.kind })
    if (plan.kind !== 'retryElsewhere') {
      const { outcome, reason } = plan.kind === 'refuse' ? plan : { outcome: 'unknown' as const, reason: 'answerIncomplete' as const }
      return refuse(context, outcome, reason, end.message)
    }
    retryAllowance.spend()
    if (!await scope.wait(plan.delayMs)) return refuseEnded(context, planner)
  }
}
