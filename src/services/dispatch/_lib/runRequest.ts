/** Runs one routed request from admission to its final answer. */
import { createRefusal } from '../../../decisions/createRefusal/index.js'
import type { AdmissionDemand, Refusal, RefusalReason } from '../../../types/index.js'
import type { RequestOutcome } from './createLedger.js'
import type { TokenUsage } from './readTokenUsage.js'
import type { RequestContext } from './requestContext.js'
import { runAttempts, type RequestResult } from './runAttempts.js'
import { runClaimed } from './runClaimed.js'

/** Outcome of a finished request, as the ledger and the metrics record it. */
export type RequestSummary = { readonly outcome: RequestOutcome, readonly reason: RefusalReason | 'none' }

export const summarizeRefusal = ({ outcome, reason }: Refusal): RequestSummary =>
  ({ outcome: outcome === 'not-run' ? 'refused' : 'unknown', reason })

const describeDemand = ({ routed, scope }: RequestContext): AdmissionDemand => ({
  clientAccount: routed.clientAccount.name,
  service: routed.route.service,
  tokens: routed.tokens,
  overnight: routed.route.priority === 'overnight',
  deadlineAt: scope.deadlineAt,
  signal: scope.signal
})

const runAdmitted = async (context: RequestContext): Promise<RequestResult> => {
  const { route, idempotencyKey } = context.routed
  const needsClaim = !route.repeatable && !route.backendIdempotent
  if (!needsClaim) return await runAttempts(context)
  if (idempotencyKey === undefined) throw new Error('a request on a route that is not repeatable has no idempotency key')
  return await runClaimed(context, idempotencyKey)
}

const recordUsage = ({ dependencies }: RequestContext, usage: TokenUsage): void => {
  const { metrics } = dependencies
  metrics.count('prompt_tokens', { cache: 'hit' }, usage.cachedTokens)
  metrics.count('prompt_tokens', { cache: 'miss' }, Math.max(0, usage.promptTokens - usage.cachedTokens))
  metrics.count('completion_tokens', {}, usage.completionTokens)
}

/** Tokens to charge: as the answer reports them, else as estimated from the request. */
const countTokens = (context: RequestContext, result: RequestResult): number => {
  if (result.kind !== 'complete') return 0
  if (result.usage === undefined) return context.routed.tokens
  recordUsage(context, result.usage)
  return result.usage.promptTokens + result.usage.completionTokens
}

const runWithTicket = async (context: RequestContext): Promise<RequestResult> => {
  const { dependencies, scope, limits } = context
  const admitting = dependencies.admission.admit(describeDemand(context))
  const admitted = await scope.race(admitting)
  if (admitted === undefined) {
    // Admitted after the request ended: the ticket is returned unused.
    admitting.then((late) => { if (late.ok) late.value.finish(0) }, () => undefined)
    const reason = scope.endCause() === 'hungUp' ? 'cancelled' : 'deadline'
    return { kind: 'refused', refusal: createRefusal('not-run', reason, 'ended while it waited for its turn', limits.defaultRetryAfterMs) }
  }
  if (!admitted.ok) {
    const { reason, retryAfterMs } = admitted.error
    return { kind: 'refused', refusal: createRefusal('not-run', reason, 'not admitted now', retryAfterMs) }
  }
  let tokensUsed = 0
  try {
    const result = await runAdmitted(context)
    tokensUsed = countTokens(context, result)
    return result
  } finally {
    admitted.value.finish(tokensUsed)
  }
}

export const runRequest = async (context: RequestContext): Promise<RequestSummary> => {
  const result = await runWithTicket(context)
  if (result.kind === 'complete') return { outcome: 'complete', reason: 'none' }
  context.reply.refuse(result.refusal)
  return summarizeRefusal(result.refusal)
}
