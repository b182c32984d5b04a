/** Emulated platform: the HTTP interface of the platform on a store in memory, with faults that tests can turn on. */
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { z } from 'zod'
import type { Clock, PlatformError, Result, Vm } from '../../types/index.js'
import { createControlServer, registerControlRoutes } from '../_lib/registerControlRoutes.js'
import { listen, type EmulatedServer, type ListenAddress } from '../_lib/listen.js'
import { createFaultSwitches, type FaultSwitches } from '../createFaultSwitches/index.js'
import { createMemoryPlatform, type MemoryPlatform } from '../createMemoryPlatform/index.js'
import { createLaggingVmList } from './_lib/createLaggingVmList.js'

export type PlatformFault = 'outage' | 'hang' | 'slow' | 'loseReplies' | 'vmLag'

export type PlatformServerOptions = ListenAddress & {
  readonly clock: Clock
  readonly platform?: MemoryPlatform
  readonly vms?: readonly Vm[]
}

export type PlatformServer = EmulatedServer & {
  readonly platform: MemoryPlatform
  readonly faults: FaultSwitches<PlatformFault>
  readonly calls: () => Readonly<Record<string, number>>
  readonly setVms: (vms: readonly Vm[]) => void
}

const BODY_LIMIT = 1_000_000
const PLATFORM_FAULTS: readonly PlatformFault[] = ['outage', 'hang', 'slow', 'loseReplies', 'vmLag']

const ERROR_STATUSES: Readonly<Record<PlatformError['kind'], number>> = {
  conflict: 412,
  unavailable: 503,
  outcomeUnknown: 500,
  rejected: 413,
  revisionGone: 410
}

const listQuerySchema = z.object({ prefix: z.string().default(''), after: z.string().default(''), limit: z.coerce.number().int().min(1).max(10_000).default(1000) })
const watchQuerySchema = z.object({ prefix: z.string().default(''), revision: z.coerce.number().int().min(0), timeoutMs: z.coerce.number().min(0).max(300_000).default(30_000) })
const vmsSchema = z.array(z.object({ name: z.string(), kind: z.enum(['router', 'backendServer']), address: z.string(), availabilityZone: z.string(), state: z.enum(['live', 'leaving']) }))

/**
 * Starts an emulated platform.
 *
 * Faults are turned on and off at `/faults`: `outage` answers 503 without
 * running the request, `hang` never answers, `slow` waits `ms` first,
 * `loseReplies` runs a write and closes the connection instead of answering, and
 * `vmLag` returns the VM list as it was `ms` ago. `GET /calls` returns the number
 * of requests by method and path, and `PUT /vms` sets the VM list.
 *
 * @param options - Clock, address, and the initial store and VM list.
 * @returns The listening server.
 *
 * @example
 * const server = await createPlatformServer({ clock: createSystemClock() })
 */
export const createPlatformServer = async (options: PlatformServerOptions): Promise<PlatformServer> => {
  const { clock } = options
  const platform = options.platform ?? createMemoryPlatform(clock)
  const faults = createFaultSwitches(PLATFORM_FAULTS)
  const vms = createLaggingVmList(clock, options.vms ?? [])
  const counts = new Map<string, number>()
  const countCall = (kind: string): void => { counts.set(kind, (counts.get(kind) ?? 0) + 1) }
  const calls = () => Object.fromEntries(counts)

  const server = fastify({ bodyLimit: BODY_LIMIT, forceCloseConnections: true, routerOptions: { maxParamLength: 1000 } })
  const control = { faults, pages: { '/calls': calls } }
  registerControlRoutes(server, control)
  server.removeContentTypeParser('application/json')
  server.addContentTypeParser('application/json', { parseAs: 'buffer' }, parseBody)
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body))

  server.put('/vms', async (request, reply) => {
    const list = vmsSchema.safeParse(request.body)
    if (!list.success) return reply.code(400).send({ message: list.error.message })
    vms.set(list.data)
    return {}
  })

  server.register(async (contract) => {
    contract.addHook('preHandler', async (request, reply) => {
      countCall(describeCall(request))
      await applyArrivalFaults(faults, clock, reply)
    })
    registerReads(contract, platform, () => vms.read(faults.peek('vmLag')?.ms ?? 0))
    registerWrites(contract, platform, faults)
  })

  const listening = await listen(server, createControlServer(control), options)
  return { ...listening, platform, faults, calls, setVms: vms.set }
}

// Objects are stored as the bytes received; only the control routes read JSON.
const parseBody = (request: FastifyRequest, body: Buffer, done: (error: Error | null, value?: unknown) => void): void => {
  if (request.url.startsWith('/objects/')) return done(null, body)
  try {
    done(null, JSON.parse(body.toString('utf8')))
  } catch {
    done(Object.assign(new Error('the body is not JSON'), { statusCode: 400 }))
  }
}

const describeCall = (request: FastifyRequest): string => {
  const [, section = ''] = request.url.split('?')[0]!.split('/')
  return `${request.method} /${section}`
}

const applyArrivalFaults = async (faults: FaultSwitches<PlatformFault>, clock: Clock, reply: FastifyReply): Promise<unknown> => {
  if (faults.take('hang') !== undefined) {
    reply.hijack()
    return undefined
  }
  const slow = faults.take('slow')
  if (slow !== undefined) await new Promise<void>((resolve) => { clock.setTimer(slow.ms, resolve) })
  if (faults.take('outage') !== undefined) return reply.code(503).send({ message: 'outage' })
  return undefined
}

const sendError = (reply: FastifyReply, error: PlatformError): FastifyReply =>
  reply.code(ERROR_STATUSES[error.kind]).send({ kind: error.kind })

const readObjectName = (request: FastifyRequest): string => (request.params as { readonly '*': string })['*']

const registerReads = (server: FastifyInstance, platform: MemoryPlatform, readVms: () => readonly Vm[]): void => {
  server.get('/objects/*', async (request, reply) => {
    const found = await platform.readObject(readObjectName(request))
    if (!found.ok) return sendError(reply, found.error)
    if (found.value === undefined) return reply.code(404).send({ kind: 'absent' })
    return reply.header('etag', `"${found.value.version}"`).type('application/octet-stream').send(Buffer.from(found.value.bytes))
  })
  server.get('/list', async (request, reply) => {
    const query = listQuerySchema.safeParse(request.query)
    if (!query.success) return reply.code(400).send({ message: query.error.message })
    const list = await platform.listObjects(query.data.prefix, query.data)
    return list.ok ? list.value : sendError(reply, list.error)
  })
  server.get('/watch', async (request, reply) => {
    const query = watchQuerySchema.safeParse(request.query)
    if (!query.success) return reply.code(400).send({ message: query.error.message })
    const events = await platform.watchObjects(query.data.prefix, query.data.revision, query.data.timeoutMs)
    return events.ok ? events.value : sendError(reply, events.error)
  })
  server.get('/vms', async () => ({ vms: readVms() }))
}

const registerWrites = (server: FastifyInstance, platform: MemoryPlatform, faults: FaultSwitches<PlatformFault>): void => {
  const sendWriteResult = (reply: FastifyReply, result: Result<string | undefined, PlatformError>): FastifyReply => {
    if (!result.ok) return sendError(reply, result.error)
    if (faults.take('loseReplies') !== undefined) {
      reply.hijack()
      reply.raw.socket?.destroy()
      return reply
    }
    if (result.value !== undefined) reply.header('etag', `"${result.value}"`)
    return reply.code(200).send('')
  }

  server.put('/objects/*', async (request, reply) => {
    const name = readObjectName(request)
    const bytes = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0)
    if (request.headers['if-none-match'] === '*') return sendWriteResult(reply, await platform.createObject(name, bytes))
    const expected = readCondition(request)
    if (expected === undefined) return reply.code(400).send({ message: 'a write needs If-None-Match: * or If-Match' })
    return sendWriteResult(reply, await platform.updateObject(name, bytes, expected))
  })
  server.delete('/objects/*', async (request, reply) => {
    const expected = readCondition(request)
    if (expected === undefined) return reply.code(400).send({ message: 'a delete needs If-Match' })
    return sendWriteResult(reply, await platform.deleteObject(readObjectName(request), expected))
  })
}

const readCondition = (request: FastifyRequest): string | undefined => /^"(.+)"$/.exec(request.headers['if-match'] ?? '')?.[1]
