/**
 * Rejects requests that Node.js's HTTP parser accepts but a gateway must not:
 * when two servers can disagree about where a request ends, another request can
 * be smuggled inside it.
 */
import type { IncomingMessage } from 'node:http'
import type { GatewayLimits, GatewayRefusal, HeaderList } from '../../../types/index.js'

const SINGLE_HEADERS = new Set(['host', 'content-length', 'transfer-encoding', 'authorization'])
/** Colon, space and line end of each header line. */
const LINE_OVERHEAD_BYTES = 4

const BAD_REQUEST: GatewayRefusal = { status: 400, reason: 'badRequest' }

/** Returns the refusal of a request, or `undefined` for a valid one. */
export const checkFraming = (message: IncomingMessage, headers: HeaderList, limits: GatewayLimits): GatewayRefusal | undefined => {
  const seen = new Set<string>()
  let bytes = (message.method?.length ?? 0) + (message.url?.length ?? 0)
  for (const [name, value] of headers) {
    const key = name.toLowerCase()
    bytes += name.length + value.length + LINE_OVERHEAD_BYTES
    if (!SINGLE_HEADERS.has(key)) continue
    if (seen.has(key)) return BAD_REQUEST
    seen.add(key)
  }
  if (bytes > limits.maximumHeaderBytes) return { status: 431, reason: 'headerTooLarge' }
  if (seen.has('content-length') && seen.has('transfer-encoding')) return BAD_REQUEST
  if (message.url?.startsWith('/') !== true) return BAD_REQUEST
  const encoding = message.headers['transfer-encoding']
  if (encoding !== undefined && encoding.trim().toLowerCase() !== 'chunked') return BAD_REQUEST
  const length = message.headers['content-length']
  if (length !== undefined && Number(length) > limits.maximumBodyBytes) return { status: 413, reason: 'bodyTooLarge' }
  return undefined
}
