/** Decides from an answer's head whether it belongs to the request, and whether the request was run. */
import { promisesNotRun } from '../../../decisions/selectFinalStatus/index.js'
import type { GatewayRequest, InstanceAnswer } from '../../../types/index.js'

export type AnswerClass =
  | { readonly kind: 'own' }
  | { readonly kind: 'notRun' }
  /** The answer to another request, or bytes that the backend server did not send in this form. */
  | { readonly kind: 'foreign', readonly message: string }

/**
 * Whether the answer carries the request's id. An answer can arrive late, where that to the
 * next request on its connection is expected; its place there shows nothing.
 */
export const isAnswerTo = (request: Pick<GatewayRequest, 'requestId'>, answer: Pick<InstanceAnswer, 'requestId'>): boolean => answer.requestId === request.requestId

export const classifyAnswer = (request: GatewayRequest, answer: InstanceAnswer): AnswerClass => {
  if (answer.requestId !== undefined && !isAnswerTo(request, answer)) return { kind: 'foreign', message: `answer to request ${answer.requestId}` }
  // A peer proves its refusals by a header that only nodes send, and answers some of them before it has read an id.
  if (answer.requestId === undefined && answer.relayRefusal === undefined) return { kind: 'foreign', message: `status ${answer.status} without a request id` }
  if (answer.isNotRun || answer.isOtherInstance) return { kind: 'notRun' }
  if (answer.relayRefusal !== undefined) return { kind: 'foreign', message: `a peer could not complete it: ${answer.relayRefusal}` }
  if (answer.isEncoded) return { kind: 'foreign', message: 'encoded body' }
  if (answer.status < 300 && !answer.isSigned) return { kind: 'foreign', message: 'success without a signature' }
  return { kind: 'own' }
}

const SERVER_ERROR_STATUS = 500

/**
 * Whether a server's own answer reports a failure. One that promises 'not run' without proof does
 * too: the server may have run the request, and what it answered can't be passed on.
 */
export const reportsFailure = ({ status }: Pick<InstanceAnswer, 'status'>): boolean => status >= SERVER_ERROR_STATUS || promisesNotRun(status)
