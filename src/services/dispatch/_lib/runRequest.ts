/** One routed request from admission to its final answer. */
import { describeRefusal } from '../../../decisions/describeRefusal/index.js'
import type { AdmissionDemand } from '../../../types/index.js'
import type { RequestFate } from './createLedger.js'
import type { RequestContext } from './requestContext.js'
import { runAttempts, type RequestResult } from './runAttempts.js'
import { runClaimed } from './runClaimed.js'

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
  if (idempotencyKey === undefined) throw new Error('a route that may not be repeated was reached without an idempotency key')
  return await runClaimed(context, idempotencyKey)
}

const runWithTicket = async (context: RequestContext): Promise<RequestResult> => {
  const { dependencies, routed, scope, limits } = context
  const admitting = dependencies.admission.admit(describeDemand(context))
  const admitted = await scope.race(admitting)
  if (admitted === undefined) {
    // Admitted too late: the share goes back unused.
    admitting.then((late) => { if (late.ok) late.value.finish(0) }, () => undefined)
    const reason = scope.ended() === 'hungUp' ? 'cancelled' : 'deadline'
    return { kind: 'refused', refusal: describeRefusal('not-run', reason, 'ended while it waited for its turn', limits.comeBackAfterMs) }
  }
  if (!admitted.ok) {
    const { reason, retryAfterMs } = admitted.error
    return { kind: 'refused', refusal: describeRefusal('not-run', reason, 'not admitted now', retryAfterMs) }
  }
  let tokensUsed = 0
  try {
    const result = await runAdmitted(context)
    tokensUsed = result.kind === 'complete' ? result.tokens ?? routed.tokens : 0
    return result
  } finally {
    admitted.value.finish(tokensUsed)
  }
}

export const runRequest = async (context: RequestContext): Promise<RequestFate> => {
  const result = await runWithTicket(context)
  if (result.kind === 'complete') return 'complete'
  context.reply.refuse(result.refusal)
  return result.refusal.outcome === 'not-run' ? 'refused' : 'unknown'
}
