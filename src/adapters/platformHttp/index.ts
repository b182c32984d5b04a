/**
 * Calls the platform's API over HTTP. Each call is sent once, and each failure
 * is mapped to the `PlatformError` that describes it.
 */
import { Pool } from 'undici'
import type { z } from 'zod'
import { createContainedConnector } from '../containedEvents/index.js'
import { failure, success } from '../../kernel/index.js'
import type { ObjectVersion, Platform, PlatformError, Result } from '../../types/index.js'
import { objectListSchema, vmListSchema, watchEventsSchema } from './_lib/schemas.js'
import { sendOnce, type Exchange, type ExchangeError, type Reply } from './_lib/sendOnce.js'

export type PlatformHttpOptions = {
  /** Origin of the platform, for example `http://10.0.0.2:7000`. */
  readonly url: string
  /** Timeout of one call; a watch may take its own timeout on top of it. */
  readonly timeoutMs: number
  /** Maximum number of open connections; a waiting watch occupies one. */
  readonly maximumConnections?: number
}

const DEFAULT_MAXIMUM_CONNECTIONS = 32

const STATUS_ERRORS: Readonly<Record<number, (message: string) => PlatformError>> = {
  400: (message) => ({ kind: 'rejected', message }),
  410: () => ({ kind: 'revisionGone' }),
  412: () => ({ kind: 'conflict' }),
  413: (message) => ({ kind: 'rejected', message }),
  // The platform answers 503 without acting, so a write certainly had no effect.
  503: (message) => ({ kind: 'unavailable', message })
}

const isSuccessStatus = (status: number): boolean => status >= 200 && status < 300

/**
 * Creates a client of the platform's object API.
 *
 * A call is never retried here: after a lost reply only the caller can
 * determine, by reading back, whether its write took effect. A write that was not sent,
 * or that the platform refused with 503, is `unavailable`; a write that was
 * sent and has no reply is `outcomeUnknown`; a read is `unavailable` in both cases.
 *
 * @param options - URL of the platform, and the timeout of a call in milliseconds.
 * @returns A `Platform`.
 *
 * @example
 * const platform = createPlatformHttp({ url: 'http://127.0.0.1:7000', timeoutMs: 1000 })
 * await platform.readObject('configuration/root')
 */
export const createPlatformHttp = ({ url, timeoutMs, maximumConnections = DEFAULT_MAXIMUM_CONNECTIONS }: PlatformHttpOptions): Platform => {
  const pool = new Pool(url, { connections: maximumConnections, pipelining: 1, connect: createContainedConnector({ timeout: timeoutMs }) })

  const read = async (path: string, extraTimeMs = 0): Promise<Result<Reply, PlatformError>> => {
    const reply = await sendOnce(pool, { method: 'GET', path, timeoutMs: timeoutMs + extraTimeMs })
    return reply.ok ? reply : failure(unavailable(reply.error))
  }

  const readJson = async <Value>(path: string, schema: z.ZodType<Value>, extraTimeMs = 0): Promise<Result<Value, PlatformError>> => {
    const reply = await read(path, extraTimeMs)
    if (!reply.ok) return reply
    if (!isSuccessStatus(reply.value.status)) return failure(toReadError(reply.value))
    return parseJson(reply.value.body, schema)
  }

  const write = async (exchange: Omit<Exchange, 'timeoutMs'>): Promise<Result<Reply, PlatformError>> => {
    const reply = await sendOnce(pool, { ...exchange, timeoutMs })
    if (!reply.ok) return failure(reply.error.kind === 'notSent' ? unavailable(reply.error) : outcomeUnknown(reply.error.message))
    if (!isSuccessStatus(reply.value.status)) return failure(toWriteError(reply.value))
    return reply
  }

  const writeBytes = async (name: string, bytes: Uint8Array, condition: Readonly<Record<string, string>>): Promise<Result<ObjectVersion, PlatformError>> => {
    const reply = await write({ method: 'PUT', path: objectPath(name), headers: { 'content-type': 'application/octet-stream', ...condition }, body: bytes })
    if (!reply.ok) return reply
    const version = readVersion(reply.value)
    return version === undefined ? failure(outcomeUnknown('the reply carries no version')) : success(version)
  }

  return {
    readObject: async (name) => {
      const reply = await read(objectPath(name))
      if (!reply.ok) return reply
      if (reply.value.status === 404) return success(undefined)
      if (!isSuccessStatus(reply.value.status)) return failure(toReadError(reply.value))
      const version = readVersion(reply.value)
      if (version === undefined) return failure({ kind: 'unavailable', message: 'the reply carries no version' })
      return success({ name, version, bytes: new Uint8Array(reply.value.body) })
    },
    createObject: (name, bytes) => writeBytes(name, bytes, { 'if-none-match': '*' }),
    updateObject: (name, bytes, expected) => writeBytes(name, bytes, { 'if-match': `"${expected}"` }),
    deleteObject: async (name, expected) => {
      const reply = await write({ method: 'DELETE', path: objectPath(name), headers: { 'if-match': `"${expected}"` } })
      return reply.ok ? success(undefined) : reply
    },
    listObjects: async (prefix, options = {}) => {
      const query = new URLSearchParams({ prefix })
      if (options.after !== undefined) query.set('after', options.after)
      if (options.limit !== undefined) query.set('limit', String(options.limit))
      const list = await readJson(`/list?${query}`, objectListSchema)
      if (!list.ok) return list
      const { continueAfter, ...rest } = list.value
      return success(continueAfter === undefined ? rest : { ...rest, continueAfter })
    },
    watchObjects: (prefix, revision, watchTimeoutMs) => {
      const query = new URLSearchParams({ prefix, revision: String(revision), timeoutMs: String(watchTimeoutMs) })
      return readJson(`/watch?${query}`, watchEventsSchema, watchTimeoutMs)
    },
    listVms: async () => {
      const list = await readJson('/vms', vmListSchema)
      return list.ok ? success(list.value.vms) : list
    },
    close: () => pool.destroy()
  }
}

const objectPath = (name: string): string => `/objects/${name.split('/').map(encodeURIComponent).join('/')}`

const unavailable = ({ message }: ExchangeError): PlatformError => ({ kind: 'unavailable', message })

const outcomeUnknown = (message: string): PlatformError => ({ kind: 'outcomeUnknown', message })

const describeStatus = (reply: Reply): string => `status ${reply.status}: ${reply.body.toString('utf8', 0, 200)}`

const toReadError = (reply: Reply): PlatformError =>
  STATUS_ERRORS[reply.status]?.(describeStatus(reply)) ?? { kind: 'unavailable', message: describeStatus(reply) }

// A status outside of the contract (such as 502 from a proxy) doesn't show
// whether the write took effect.
const toWriteError = (reply: Reply): PlatformError =>
  STATUS_ERRORS[reply.status]?.(describeStatus(reply)) ?? outcomeUnknown(describeStatus(reply))

const readVersion = ({ headers }: Reply): ObjectVersion | undefined => {
  const tag = headers.etag
  return typeof tag === 'string' ? /^"(.+)"$/.exec(tag)?.[1] : undefined
}

const parseJson = <Value>(body: Buffer, schema: z.ZodType<Value>): Result<Value, PlatformError> => {
  try {
    const parsed = schema.safeParse(JSON.parse(body.toString('utf8')))
    return parsed.success ? success(parsed.data) : failure({ kind: 'unavailable', message: 'the reply has another shape than documented' })
  } catch {
    return failure({ kind: 'unavailable', message: 'the reply is not JSON' })
  }
}
