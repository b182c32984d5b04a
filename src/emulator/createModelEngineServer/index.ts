/** HTTP server of the emulated model engine: chat completions, resumable streams, load report and faults. */
import type { FastifyReply, FastifyRequest } from 'fastify'
import type { Clock } from '../../types/index.js'
import { createAnswerWriter, writeCompleteAnswer, type AnswerWriter } from '../_lib/createAnswerWriter.js'
import { createBackendFaults, type BackendFaults } from '../_lib/backendFaults.js'
import { createBackendHttpServer, dropConnection, readRequestHeaders, sendNotRunRefusal } from '../_lib/createBackendHttpServer.js'
import type { EmulatedServer, ListenAddress } from '../_lib/listen.js'
import { composeAnswer } from '../composeAnswer/index.js'
import { createModelEngine, type EngineJob, type ModelEngine, type ModelEngineOptions } from '../createModelEngine/index.js'
import { completionSchema, readMessages, type Completion } from './_lib/completionSchema.js'
import { countEvents, formatEvent, formatCompletion, type AnswerFormat } from './_lib/formatAnswer.js'

export type ModelEngineServerOptions = ListenAddress & {
  readonly clock: Clock
  readonly engine?: Partial<ModelEngineOptions>
}

export type ModelEngineServer = EmulatedServer & {
  readonly engine: ModelEngine
  readonly faults: BackendFaults
}

type ResumableStream = { readonly job: EngineJob, readonly format: AnswerFormat }

const MAXIMUM_STORED_FORMATS = 100_000

/**
 * Starts an emulated model engine.
 *
 * @param options - Clock, address, and the sizes and rates of the engine.
 * @returns The listening server, its engine, and its faults.
 *
 * @example
 * const server = await createModelEngineServer({ clock: createSystemClock(), engine: { slots: 4 } })
 */
export const createModelEngineServer = async (options: ModelEngineServerOptions): Promise<ModelEngineServer> => {
  const { clock } = options
  const engine = createModelEngine(clock, options.engine)
  const faults = createBackendFaults()
  const backend = createBackendHttpServer({ clock, faults, journal: engine.journal, report: engine.report })
  const formats = new Map<string, AnswerFormat>()

  const storeFormat = (requestId: string, format: AnswerFormat): void => {
    formats.set(requestId, format)
    if (formats.size > MAXIMUM_STORED_FORMATS) formats.delete(formats.keys().next().value!)
  }

  const findStream = (requestId: string): ResumableStream | undefined => {
    const job = engine.find(requestId)
    const format = formats.get(requestId)
    return job === undefined || format === undefined ? undefined : { job, format }
  }

  backend.server.post('/v1/chat/completions', async (request, reply) => {
    const { requestId, ...headers } = readRequestHeaders(request)
    const completion = completionSchema.safeParse(request.body)
    if (!completion.success) return reply.code(400).header('x-request-id', requestId).send({ error: { message: completion.error.message, type: 'invalid_request_error' } })
    if (faults.peek('leaving') !== undefined) return sendNotRunRefusal(reply, requestId, 'leaving')
    if (faults.take('overloaded') !== undefined) return sendNotRunRefusal(reply, requestId, 'overloaded')
    const maximumTokens = completion.data.max_completion_tokens ?? completion.data.max_tokens ?? undefined
    const submitted = engine.submit({ requestId, ...headers, path: request.url, messages: readMessages(completion.data), maximumTokens })
    if (!submitted.ok) return sendNotRunRefusal(reply, requestId, submitted.error.reason)
    if (faults.take('resetAfterRead') !== undefined) return dropConnection(request, reply)
    reply.hijack()
    const stream = { job: submitted.value, format: buildFormat(requestId, completion.data) }
    storeFormat(requestId, stream.format)
    sendAnswer(request, reply, applyCrossedAnswerFault(faults, stream), completion.data.stream === true, createAnswerWriter(reply.raw, faults, clock))
  })

  backend.server.get('/v1/streams/:requestId', async (request, reply) => {
    const stream = findStream((request.params as { readonly requestId: string }).requestId)
    if (stream === undefined || stream.job.outcome() === 'cancelled') return reply.code(404).send({ error: { message: 'no such stream' } })
    const after = Number((request.query as { readonly after?: string }).after ?? 0)
    if (!Number.isInteger(after) || after < 0) return reply.code(400).send({ error: { message: 'after must be a whole number' } })
    reply.hijack()
    sendStream(request, reply, stream, createAnswerWriter(reply.raw, faults, clock), after)
  })

  backend.server.delete('/v1/streams/:requestId', async (request, reply) => {
    const stream = findStream((request.params as { readonly requestId: string }).requestId)
    if (stream === undefined) return reply.code(404).send({ error: { message: 'no such stream' } })
    stream.job.cancel()
    return reply.code(204).send()
  })

  return { ...await backend.listen(options), engine, faults }
}

const buildFormat = (requestId: string, completion: Completion): AnswerFormat => ({
  requestId,
  model: completion.model,
  includeUsage: completion.stream_options?.include_usage === true
})

/** With the fault `crossedAnswer` on, replaces the answer by one that belongs to another request. */
const applyCrossedAnswerFault = (faults: BackendFaults, stream: ResumableStream): ResumableStream => {
  if (faults.take('crossedAnswer') === undefined) return stream
  const requestId = `${stream.format.requestId}-crossed`
  const answer = composeAnswer([{ role: 'user', content: `the question of ${requestId}` }], stream.job.answer.tokens.length)
  return { job: { ...stream.job, answer }, format: { ...stream.format, requestId } }
}

const sendAnswer = (request: FastifyRequest, reply: FastifyReply, stream: ResumableStream, isStreamed: boolean, writer: AnswerWriter): void => {
  if (isStreamed) sendStream(request, reply, stream, writer, 0)
  else sendCompletion(reply, stream, writer)
}

const sendCompletion = (reply: FastifyReply, { job, format }: ResumableStream, writer: AnswerWriter): void => {
  const stopListening = job.listen(() => {
    if (job.outcome() === undefined) return
    stopListening()
    if (job.outcome() === 'cancelled') reply.raw.socket?.destroy()
    else writeCompleteAnswer(writer, 200, { 'content-type': 'application/json', 'x-request-id': format.requestId }, formatCompletion(job, format))
  })
  // An answer that is not streamed cannot be resumed, so a closed connection cancels its job.
  reply.raw.on('close', () => {
    if (!reply.raw.writableFinished) job.cancel()
  })
}

const sendStream = (request: FastifyRequest, reply: FastifyReply, { job, format }: ResumableStream, writer: AnswerWriter, after: number): void => {
  const total = countEvents(job, format)
  let sent = after
  writer.head(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', 'x-request-id': format.requestId })
  const sendAvailable = (): void => {
    if (job.outcome() === 'cancelled') {
      request.raw.socket.destroy()
      return
    }
    const available = job.outcome() === 'complete' ? total : Math.min(job.emitted(), total)
    while (sent < available) writer.piece(formatEvent(job, format, ++sent))
    if (sent < total) return
    stopListening()
    writer.end()
  }
  const stopListening = job.listen(sendAvailable)
  reply.raw.on('close', stopListening)
  sendAvailable()
}
