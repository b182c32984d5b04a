/** Decides from an answer's head whether it belongs to the request, and whether the request was run. */
import type { GatewayRequest, InstanceAnswer } from '../../../types/index.js'

export type AnswerClass =
  | { readonly kind: 'own' }
  | { readonly kind: 'notRun' }
  /** The answer to another request, or bytes that the backend server did not send in this form. */
  | { readonly kind: 'foreign', readonly message: string }

export const classifyAnswer = (request: GatewayRequest, answer: InstanceAnswer): AnswerClass => {
  if (answer.requestId !== undefined && answer.requestId !== request.requestId) return { kind: 'foreign', message: `answer to request ${answer.requestId}` }
  if (answer.isNotRun || answer.isOtherInstance) return { kind: 'notRun' }
  if (answer.relayRefusal !== undefined) return { kind: 'foreign', message: `a peer could not complete it: ${answer.relayRefusal}` }
  if (answer.requestId === undefined) return { kind: 'foreign', message: `status ${answer.status} without a request id` }
  if (answer.isEncoded) return { kind: 'foreign', message: 'encoded body' }
  if (answer.status < 300 && !answer.isSigned) return { kind: 'foreign', message: 'success without a signature' }
  return { kind: 'own' }
}
