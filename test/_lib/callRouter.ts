/** Sends requests of each kind to a router and collects what a caller sees of the answer. */
import { CALLER_KEY, MODEL } from './createDispatchHarness.js'

export type RequestKind = 'chatStream' | 'chatWhole' | 'agentStream' | 'stock' | 'order' | 'settlement'

export type ReceivedAnswer = {
  readonly status: number
  readonly headers: Headers
  readonly text: string
  /** The connection failed before the end of the body. */
  readonly isBroken: boolean
}

const composeChatBody = (stream: boolean, model = MODEL): string =>
  JSON.stringify({ model, stream, messages: [{ role: 'system', content: 's' }, { role: 'user', content: 'u' }] })

const requests: { readonly [Kind in RequestKind]: { readonly path: string, readonly body: string, readonly headers: Readonly<Record<string, string>> } } = {
  chatStream: { path: '/v1/chat/completions', body: composeChatBody(true), headers: { 'content-type': 'application/json' } },
  chatWhole: { path: '/v1/chat/completions', body: composeChatBody(false), headers: { 'content-type': 'application/json' } },
  agentStream: { path: '/v1/chat/completions', body: composeChatBody(true, 'agent'), headers: { 'content-type': 'application/json', 'idempotency-key': 'agent-1' } },
  stock: { path: '/stock/penne?size=2', body: 'q', headers: {} },
  order: { path: '/stock/orders', body: 'o', headers: { 'idempotency-key': 'order-1' } },
  settlement: { path: '/settlements', body: 's', headers: { 'idempotency-key': 'settlement-1' } }
}

const readBody = async (response: Response): Promise<Pick<ReceivedAnswer, 'text' | 'isBroken'>> => {
  const decoder = new TextDecoder()
  let text = ''
  try {
    for await (const chunk of response.body ?? []) text += decoder.decode(chunk, { stream: true })
    return { text, isBroken: false }
  } catch {
    return { text, isBroken: true }
  }
}

export const callRouter = async (url: string, kind: RequestKind, headers: Readonly<Record<string, string>> = {}, signal?: AbortSignal): Promise<ReceivedAnswer> => {
  const request = requests[kind]
  const response = await fetch(url + request.path, {
    method: 'POST',
    body: request.body,
    headers: { authorization: `Bearer ${CALLER_KEY}`, ...request.headers, ...headers },
    ...(signal === undefined ? {} : { signal })
  })
  return { status: response.status, headers: response.headers, ...await readBody(response) }
}
