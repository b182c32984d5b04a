/** Builds the requests to a backend server and the headers of an answer to a caller. */
import { CHAT_COOKIE, selectReturnedHeaders } from '../../../decisions/selectReturnedHeaders/index.js'
import { selectForwardedHeaders } from '../../../decisions/selectForwardedHeaders/index.js'
import { selectFinalStatus } from '../../../decisions/selectFinalStatus/index.js'
import { signChatHint } from '../../../decisions/signChatHint/index.js'
import type { BackendAnswer, BackendRequest, BackendServer, Headers } from '../../../types/index.js'
import { isIdempotent, type RequestContext } from './requestContext.js'

const CHAT_COOKIE_ATTRIBUTES = 'Path=/; Max-Age=86400; HttpOnly; SameSite=Lax'
const FIRST_SERVER_ERROR_STATUS = 500
const NO_BODY = new Uint8Array()

const describeOwnHeaders = ({ routed, scope }: RequestContext): Headers => ({
  'x-request-id': routed.request.requestId,
  'x-deadline-ms': String(Math.max(1, Math.floor(scope.remainingMs()))),
  'x-priority': routed.route.priority,
  'x-client-account': routed.clientAccount.name
})

export const describeBackendRequest = (context: RequestContext, backendServer: BackendServer): BackendRequest => {
  const { routed, scope } = context
  return {
    requestId: routed.request.requestId,
    url: backendServer.url,
    method: routed.request.method,
    path: routed.path,
    headers: {
      ...selectForwardedHeaders(routed.request.headers),
      ...describeOwnHeaders(context),
      ...(routed.idempotencyKey === undefined ? {} : { 'idempotency-key': routed.idempotencyKey })
    },
    body: routed.request.body,
    timeoutMs: scope.remainingMs()
  }
}

const streamPath = ({ routed }: RequestContext): string =>
  `/v1/streams/${encodeURIComponent(routed.request.requestId)}`

/** Requests the events of a stream that follow event number `after`. */
export const describeResume = (context: RequestContext, backendServer: BackendServer, after: number): BackendRequest => ({
  requestId: context.routed.request.requestId,
  url: backendServer.url,
  method: 'GET',
  path: `${streamPath(context)}?after=${after}`,
  headers: { ...describeOwnHeaders(context), accept: 'text/event-stream' },
  body: NO_BODY,
  timeoutMs: context.scope.remainingMs()
})

/** Cancels a request on a model engine. */
export const describeCancel = (context: RequestContext, backendServer: BackendServer, timeoutMs: number): BackendRequest => ({
  requestId: context.routed.request.requestId,
  url: backendServer.url,
  method: 'DELETE',
  path: streamPath(context),
  headers: describeOwnHeaders(context),
  body: NO_BODY,
  timeoutMs
})

/**
 * Status with which the answer of a backend server leaves the router. A server proves by its own header that it
 * did not run a request; without that, a caller must not repeat one that may run only once.
 */
export const selectAnswerStatus = (context: RequestContext, { status }: Pick<BackendAnswer, 'status'>): number =>
  isIdempotent(context) ? status : selectFinalStatus(status, true)

/** Marks a backend server's error answer: the request may have run, so client libraries must not retry it. */
export const describeUnknownOutcome = (context: RequestContext, status: number): Headers =>
  status >= FIRST_SERVER_ERROR_STATUS && !isIdempotent(context) ? { 'x-request-outcome': 'unknown', 'x-should-retry': 'false' } : {}

const describeHint = ({ routed, hintAuthenticator }: RequestContext, backendServer: BackendServer, cookies: string | undefined): Headers => {
  if (routed.serviceKind !== 'model') return {}
  const hint = signChatHint({
    clientAccount: routed.clientAccount.name,
    chatKey: routed.chatKey,
    backendServer: backendServer.name
  }, hintAuthenticator)
  const cookie = `${CHAT_COOKIE}=${hint}; ${CHAT_COOKIE_ATTRIBUTES}`
  return { 'x-chat-hint': hint, 'set-cookie': cookies === undefined ? cookie : `${cookies}\n${cookie}` }
}

export const describeAnswerHeaders = (context: RequestContext, backendServer: BackendServer, answer: BackendAnswer): Headers => {
  const returned = selectReturnedHeaders(answer.headers)
  return { ...returned, 'x-served-by': backendServer.name, ...describeHint(context, backendServer, returned['set-cookie']) }
}
