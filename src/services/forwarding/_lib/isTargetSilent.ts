/** Whether the target of an attempt has sent nothing for longer than its route allows, so that another one is tried. */
import type { SendAttempt } from './createSendAttempt.js'
import type { RequestHandlerContext } from './requestHandler.js'
import { isFailoverDue } from '../../../decisions/isFailoverDue/index.js'
import type { GatewayRoute } from '../../../types/index.js'

/** Checks one attempt; `now` is in monotonic milliseconds. */
export const isTargetSilent = ({ firstByteTimes }: Pick<RequestHandlerContext, 'firstByteTimes'>, route: GatewayRoute, attempt: SendAttempt, hasBegun: boolean, now: number): boolean => isFailoverDue({
  hasBegun,
  waitedMs: now - attempt.lastBytesAt,
  ...attempt.target.describeSilence(),
  firstByteTargetMs: route.latencyTargetMs,
  pauseTargetMs: route.eventGapTargetMs,
  usualFirstByteMs: firstByteTimes.readAverage(route.name)
})
