/**
 * Watches the target of an attempt for silence. The target may go on at any moment, so its
 * answer is waited for until the request is surely sent to another one.
 */
import { isTargetSilent } from './isTargetSilent.js'
import type { AttemptReporter } from './createAttemptReporter.js'
import type { CallerAnswer } from './createCallerAnswer.js'
import type { OpenPath, RoutedRequest } from './createPathSelector.js'
import type { RequestRecord } from './createRequestRecord.js'
import type { RetryRules } from './createRetryRules.js'
import type { SendAttempt } from './createSendAttempt.js'
import type { RequestHandlerContext } from './requestHandler.js'
import type { LogFields } from '../../../types/index.js'

export type SilenceWatch = {
  /** Checks a sent attempt; `now` in monotonic milliseconds. */
  readonly check: (current: SendAttempt, routed: RoutedRequest, now: number) => void
}

export type SilenceWatchOptions = {
  readonly caller: Pick<CallerAnswer, 'hasBegun' | 'relay'>
  readonly record: Pick<RequestRecord, 'log'>
  readonly reporter: Pick<AttemptReporter, 'reportUnresponsive' | 'reportLeft'>
  readonly rules: Pick<RetryRules, 'decideMove'>
  /** Gives the attempt up and sends the request on the path. */
  readonly move: (current: SendAttempt, routed: RoutedRequest, path: OpenPath, fields: LogFields) => void
}

/** Creates the watch of one request. */
export const createSilenceWatch = (context: Pick<RequestHandlerContext, 'firstByteTimes'>, { caller, record, reporter, rules, move }: SilenceWatchOptions): SilenceWatch => ({
  check: (current, routed, now) => {
    if (!isTargetSilent(context, routed.route, current, caller.hasBegun(), now)) return
    const fields: LogFields = { ...current.target.logFields, silentMs: Math.round(now - current.lastBytesAt), lastEventId: caller.relay.lastEventId() }
    reporter.reportUnresponsive(current)
    const decision = rules.decideMove(routed, current.target)
    if (decision.kind === 'move') {
      reporter.reportLeft(current)
      return move(current, routed, decision.path, fields)
    }
    if (current.isStayLogged) return
    current.isStayLogged = true
    record.log('exchange kept', { ...fields, reason: decision.reason })
  }
})
