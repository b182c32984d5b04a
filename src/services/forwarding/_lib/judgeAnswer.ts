/** Whether an answer's head belongs to the request, and whether the request was run. */
import type { GatewayRequest, InstanceAnswer } from '../../../types/index.js'

export type AnswerVerdict =
  | { readonly kind: 'own' }
  | { readonly kind: 'notRun' }
  /** Not the answer to this request, or not the backend server's own bytes. */
  | { readonly kind: 'foreign', readonly message: string }

export const judgeAnswer = (request: GatewayRequest, answer: InstanceAnswer): AnswerVerdict => {
  if (answer.requestId !== undefined && answer.requestId !== request.requestId) return { kind: 'foreign', message: `answer to request ${answer.requestId}` }
  if (answer.isNotRun || answer.isOtherInstance) return { kind: 'notRun' }
  if (answer.requestId === undefined) return { kind: 'foreign', message: `status ${answer.status} without a request id` }
  if (answer.isEncoded) return { kind: 'foreign', message: 'encoded body' }
  if (answer.status < 300 && !answer.isSigned) return { kind: 'foreign', message: 'success without a signature' }
  return { kind: 'own' }
}
