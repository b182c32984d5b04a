/** Requests the rest of an interrupted stream from the backend server that sent it. */
import type { BackendAnswer, BackendServer } from '../../../types/index.js'
import { describeResume } from './describeExchange.js'
import type { RequestContext } from './requestContext.js'

export type ResumeOutcome =
  | { readonly kind: 'resumed', readonly answer: BackendAnswer }
  /** No valid answer; a later request may succeed. */
  | { readonly kind: 'failed' }
  /** The backend server does not have the stream any more, or does not support resuming. */
  | { readonly kind: 'gone' }

const GONE_STATUSES: ReadonlySet<number> = new Set([404, 405, 410])

const isOwnStream = (context: RequestContext, answer: BackendAnswer): boolean =>
  answer.status === 200 &&
  answer.headers['x-request-id'] === context.routed.request.requestId &&
  (answer.headers['content-type'] ?? '').startsWith('text/event-stream')

export const requestResume = async (context: RequestContext, backendServer: BackendServer, after: number): Promise<ResumeOutcome> => {
  const { dependencies, scope } = context
  const sent = await dependencies.backendClient.send(describeResume(context, backendServer, after), scope.signal)
  if (!sent.ok) return { kind: 'failed' }
  if (isOwnStream(context, sent.value)) return { kind: 'resumed', answer: sent.value }
  sent.value.abort()
  return { kind: GONE_STATUSES.has(sent.value.status) ? 'gone' : 'failed' }
}
