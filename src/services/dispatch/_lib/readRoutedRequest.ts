/**
 * Validates a caller's request and determines its client account, route, chat
 * and deadline. An invalid request is refused with the outcome "not-run".
 */
import { createRefusal } from '../../../decisions/createRefusal/index.js'
import { matchRoute } from '../../../decisions/matchRoute/index.js'
import { normalizePath, type NormalizedPath } from '../../../decisions/normalizePath/index.js'
import { CHAT_COOKIE } from '../../../decisions/selectReturnedHeaders/index.js'
import { failure, success } from '../../../kernel/index.js'
import type { BackendServiceKind, CallerRequest, ClientAccount, Headers, Refusal, RefusalReason, Result, Route } from '../../../types/index.js'
import { hashHex } from './createHintAuthenticator.js'
import type { ConfigurationIndex } from './indexConfiguration.js'
import { readModelRequest } from './readModelRequest.js'

export type RoutedRequest = {
  readonly request: CallerRequest
  readonly clientAccount: ClientAccount
  readonly route: Route
  readonly serviceKind: BackendServiceKind
  /** Normalised path with query, as sent to the backend server. */
  readonly path: string
  readonly chatKey: string
  readonly isNewChat: boolean
  /** As the caller sent it, not verified. */
  readonly hint?: string
  readonly idempotencyKey?: string
  readonly tokens: number
  readonly deadlineMs: number
}

type Destination = Pick<RoutedRequest, 'route' | 'serviceKind' | 'chatKey' | 'isNewChat' | 'tokens'>

export const CHAT_COMPLETIONS_PATH = '/v1/chat/completions'
export const MODELS_PATH = '/v1/models'

const MAXIMUM_CHAT_ID_LENGTH = 256
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/
const INTEGER_MILLISECONDS = /^[0-9]{1,9}$/
const BYTES_PER_TOKEN = 4

const refuse = (reason: RefusalReason, message: string): Result<never, Refusal> =>
  failure(createRefusal('not-run', reason, message))

/**
 * Looks up the account by the hash of the key. A caller can't control the hash
 * byte by byte, so the duration of the look-up leaks nothing about a key.
 */
export const authenticateCaller = (index: ConfigurationIndex, request: CallerRequest): ClientAccount | undefined =>
  request.credential === undefined ? undefined : index.accountsByKeyHash.get(hashHex(request.credential))

const readChatId = (headers: Headers): string | undefined =>
  headers['x-chat-id']?.slice(0, MAXIMUM_CHAT_ID_LENGTH)

const readHint = (headers: Headers): string | undefined => {
  if (headers['x-chat-hint'] !== undefined) return headers['x-chat-hint']
  const cookies = (headers['cookie'] ?? '').split(';').map((cookie) => cookie.trim())
  return cookies.find((cookie) => cookie.startsWith(`${CHAT_COOKIE}=`))?.slice(CHAT_COOKIE.length + 1)
}

const readModelDestination = (index: ConfigurationIndex, request: CallerRequest, account: ClientAccount): Result<Destination, Refusal> => {
  if (request.method !== 'POST') return refuse('unknownRoute', `${CHAT_COMPLETIONS_PATH} takes POST only`)
  const body = readModelRequest(request.body)
  if (body === undefined) return refuse('badRequest', 'the body is not a chat completion request')
  const route = index.routesByModel.get(body.model)
  if (route === undefined) return refuse('unknownModel', `there is no model ${JSON.stringify(body.model)}`)
  const chat = readChatId(request.headers) ?? body.openingHash
  return success({
    route,
    serviceKind: 'model',
    chatKey: hashHex(JSON.stringify([account.name, route.service, chat])),
    isNewChat: body.isNewChat,
    tokens: body.tokens
  })
}

const readPlainDestination = (index: ConfigurationIndex, request: CallerRequest, account: ClientAccount, path: string): Result<Destination, Refusal> => {
  const route = matchRoute(index.pathRoutes, path)
  if (route === undefined) return refuse('unknownRoute', 'no route has this path')
  const chat = readChatId(request.headers) ?? request.requestId
  return success({
    route,
    serviceKind: 'plain',
    chatKey: hashHex(JSON.stringify([account.name, route.service, chat])),
    isNewChat: true,
    tokens: Math.ceil(request.body.length / BYTES_PER_TOKEN) + 1
  })
}

const readDestination = (index: ConfigurationIndex, request: CallerRequest, account: ClientAccount, { path }: NormalizedPath): Result<Destination, Refusal> =>
  path === CHAT_COMPLETIONS_PATH
    ? readModelDestination(index, request, account)
    : readPlainDestination(index, request, account, path)

const readDeadline = (headers: Headers, route: Route): Result<number, Refusal> => {
  const maximumMs = route.deadlineSeconds * 1_000
  const requested = headers['x-deadline-ms']
  if (requested === undefined) return success(maximumMs)
  if (!INTEGER_MILLISECONDS.test(requested)) return refuse('badRequest', 'X-Deadline-Ms must be whole milliseconds')
  return success(Math.min(maximumMs, Number(requested)))
}

const readIdempotencyKey = (headers: Headers, route: Route): Result<string | undefined, Refusal> => {
  const key = headers['idempotency-key']
  if (key === undefined && !route.repeatable) return refuse('idempotencyKeyMissing', 'this route requires an Idempotency-Key')
  if (key !== undefined && !IDEMPOTENCY_KEY.test(key)) return refuse('badRequest', 'the Idempotency-Key must be 1 to 255 printable characters without spaces')
  return success(key)
}

export const readRoutedRequest = (index: ConfigurationIndex, request: CallerRequest): Result<RoutedRequest, Refusal> => {
  const account = authenticateCaller(index, request)
  if (account === undefined) return refuse('unauthorized', 'the key is missing or not known')
  const path = normalizePath(request.path)
  if (!path.ok) return refuse('badRequest', path.error)
  const destination = readDestination(index, request, account, path.value)
  if (!destination.ok) return destination
  const deadline = readDeadline(request.headers, destination.value.route)
  if (!deadline.ok) return deadline
  const key = readIdempotencyKey(request.headers, destination.value.route)
  if (!key.ok) return key
  const hint = readHint(request.headers)
  return success({
    ...destination.value,
    request,
    clientAccount: account,
    path: `${path.value.path}${path.value.query}`,
    deadlineMs: deadline.value,
    ...(hint === undefined ? {} : { hint }),
    ...(key.value === undefined ? {} : { idempotencyKey: key.value })
  })
}
