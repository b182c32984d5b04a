/** Writes the log lines and metrics of one request: attempts, outcome and durations. */
import { promisesNotRun } from '../../../decisions/selectFinalStatus/index.js'
import type { RequestHandlerContext } from './requestHandler.js'
import type { GatewayRequest, GatewayRoute, LogFields } from '../../../types/index.js'
import type { GatewayEvent } from '../../../types/gatewayEvents.js'

export type RequestOutcome = 'complete' | 'refused' | 'brokenOff' | 'failedAtBackend' | 'callerLeft'

export type SendOutcome = 'complete' | 'refused' | 'errored' | 'broken' | 'notSent' | 'withdrawn' | 'silent'

/** Steps of a request up to the head of its answer, in this order. */
export type RequestStep = 'body' | 'sent' | 'connected' | 'head'

/** `status` is that of the final answer; it and `mayHaveRun` are not set for a caller without one. */
export type FinalFields = LogFields & { readonly status?: number | undefined, readonly mayHaveRun?: boolean }

export type RequestRecord = {
  /** Records that a step was reached; only the first time counts. */
  readonly recordStep: (step: RequestStep) => void
  readonly log: (event: GatewayEvent, fields: LogFields) => void
  readonly countSend: (outcome: SendOutcome) => void
  /** Records that the caller left, before or after the request was sent. */
  readonly countLeft: (progress: 'unsent' | 'sent') => void
  readonly countRetry: (isGranted: boolean) => void
  /** Records the time from the send to the answer's head, in milliseconds. */
  readonly recordFirstByteTime: (milliseconds: number) => void
  readonly finish: (outcome: RequestOutcome, fields: FinalFields) => void
}

const MILLISECONDS_PER_SECOND = 1_000

/** Creates the record of one request; `readRoute` returns its route once that is selected. */
export const createRequestRecord = (
  { clock, logger, metrics, shutdownGate }: Pick<RequestHandlerContext, 'clock' | 'logger' | 'metrics' | 'shutdownGate'>,
  request: Pick<GatewayRequest, 'requestId' | 'receivedAt' | 'unreadMs'>,
  readRoute: () => GatewayRoute | undefined
): RequestRecord => {
  const reached: Partial<Record<RequestStep, number>> = {}

  const unreadMs = Math.round(request.unreadMs ?? 0)
  if (unreadMs > 0) metrics.observe('gateway_read_delay_seconds', unreadMs / MILLISECONDS_PER_SECOND)

  const policy = (): string => readRoute()?.retryPolicy ?? 'none'

  const log: RequestRecord['log'] = (event, fields) => logger.info(event, { requestId: request.requestId, route: readRoute()?.name, ...fields })

  /** Returns the milliseconds from the request's arrival to each step that it reached. */
  const listSteps = (): LogFields =>
    Object.fromEntries(Object.entries(reached).map(([step, at]) => [`${step}Ms`, Math.round(at - request.receivedAt)]))

  return {
    recordStep: (step) => { reached[step] ??= clock.now() },
    log,
    countSend: (outcome) => metrics.count('gateway_sends', { outcome }),
    countLeft: (progress) => metrics.count('gateway_callers_left', { progress }),
    countRetry: (isGranted) => metrics.count('gateway_repeats', { granted: String(isGranted) }),
    recordFirstByteTime: (milliseconds) => metrics.observe('gateway_first_byte_seconds', milliseconds / MILLISECONDS_PER_SECOND, { policy: policy() }),
    finish: (outcome, fields) => {
      const ms = clock.now() - request.receivedAt
      metrics.count('gateway_requests', { policy: policy(), outcome, reason: String(fields.reason ?? '') })
      if (fields.status !== undefined && promisesNotRun(fields.status)) metrics.count('gateway_not_run_answers', { status: String(fields.status), mayHaveRun: String(fields.mayHaveRun) })
      metrics.observe('gateway_duration_seconds', ms / MILLISECONDS_PER_SECOND, { policy: policy(), outcome })
      log(outcome === 'complete' ? 'request complete' : 'request ended', { outcome, ms: Math.round(ms), ...(unreadMs > 0 ? { unreadMs } : {}), ...listSteps(), ...shutdownGate.describe(), ...fields })
    }
  }
}
