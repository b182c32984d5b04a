/**
 * Connects gateway nodes to emulated model engines without HTTP or sockets, on the
 * engines' clock. Requests are really sent, queued, refused, answered in events and
 * broken off, so that nodes see what backend servers would show them.
 */
import type { Clock, Exchange, ExchangeFailure, ExchangeListener, GatewayAttempt, GatewayRequest, InstanceAnswer, InstanceClient } from '../../types/index.js'
import type { EngineJob, EngineRequest, ModelEngine } from '../createModelEngine/index.js'

export type EngineClientsOptions = {
  readonly clock: Clock
  /** Engines by the id of their backend server. */
  readonly engines: ReadonlyMap<string, ModelEngine>
  /** One-way delay between a node and an engine, in milliseconds. */
  readonly delayMs: number
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number
  /** Returns the tokens that the answer to a request has; nodes know only their maximum. */
  readonly countAnswerTokens: (request: GatewayRequest) => number
}

export type EngineClients = {
  /** Creates the client of one node. */
  readonly create: () => InstanceClient
  /** Ends an engine without notice: open exchanges break, and new ones are not sent. */
  readonly breakDown: (id: string) => void
}

const STATUS_OK = 200
const STATUS_UNAVAILABLE = 503

const describeAnswer = (engine: ModelEngine, requestId: string, isNotRun: boolean): InstanceAnswer => {
  const { running, waiting, slots, leaving } = engine.report()
  return {
    status: isNotRun ? STATUS_UNAVAILABLE : STATUS_OK,
    headers: [],
    requestId,
    isSigned: true,
    isNotRun,
    isOtherInstance: false,
    load: { running, waiting, slots, slowdown: engine.slowdown() },
    contentLength: undefined,
    isEventStream: !isNotRun,
    isEncoded: false,
    backoffMs: undefined,
    isLeaving: leaving
  }
}

/** A resumed stream generates only the tokens after the last event, and reads those before it as a part of the prompt. */
const createEngineRequest = ({ request, account, priority, resumeAfter }: GatewayAttempt, { tokensPerEvent, countAnswerTokens }: EngineClientsOptions): EngineRequest => {
  const generated = (resumeAfter ?? 0) * tokensPerEvent
  const resumed = generated === 0 ? [] : [{ id: `${request.requestId} after ${generated}`, tokens: generated }]
  return {
    requestId: request.requestId,
    clientAccount: account ?? '',
    path: request.target,
    messages: [],
    priority: 'interactive',
    urgency: priority,
    sizes: { promptParts: [...request.promptParts, ...resumed], answerTokens: Math.max(1, countAnswerTokens(request) - generated) }
  }
}

/**
 * Creates the connections.
 *
 * The head of an answer comes with its first event, as a request begins to run with
 * its first token; a refusal as not run comes at once.
 *
 * @param options - Clock, engines and sizes.
 * @returns A function that creates the client of each node, and one that ends an engine.
 *
 * @example
 * const clients = createEngineClients({ clock, engines, delayMs: 1, tokensPerEvent: 8, countAnswerTokens: ({ tokens }) => tokens.output })
 * createInProcessFleet({ nodesPerZone: 2, random, clock, createClient: clients.create })
 */
export const createEngineClients = (options: EngineClientsOptions): EngineClients => {
  const { clock, engines, delayMs, tokensPerEvent } = options
  const broken = new Set<string>()
  const breakersByEngine = new Map<string, Set<() => void>>()

  const registerBreaker = (id: string, breakOff: () => void): (() => void) => {
    const breakers = breakersByEngine.get(id) ?? new Set()
    breakersByEngine.set(id, breakers.add(breakOff))
    return () => { breakers.delete(breakOff) }
  }

  const send = (attempt: GatewayAttempt, listener: ExchangeListener): Exchange => {
    const { instance, request, resumeAfter } = attempt
    const engine = engines.get(instance.id)
    let isOver = false
    let job: EngineJob | undefined
    let events = 0

    /** Delivers to the node after the delay, in order, until the exchange is over. */
    const deliver = (event: () => void): void => { clock.setTimer(delayMs, () => { if (!isOver) event() }) }

    const end = (): void => {
      isOver = true
      unregister()
    }

    const fail = (failure: ExchangeFailure): void => deliver(() => {
      end()
      listener.onFailure(failure)
    })

    const unregister = registerBreaker(instance.id, () => {
      job?.cancel()
      fail({ kind: 'broken', message: 'connection reset' })
    })

    const sendEvents = (from: ModelEngine, running: EngineJob): void => {
      const isComplete = running.outcome() === 'complete'
      const due = isComplete ? Math.ceil(running.emitted() / tokensPerEvent) : Math.floor(running.emitted() / tokensPerEvent)
      if (due > 0 && events === 0) {
        const head = describeAnswer(from, request.requestId, false)
        deliver(() => listener.onHead(head))
      }
      for (; events < due; events++) {
        const id = (resumeAfter ?? 0) + events + 1
        deliver(() => listener.onData(Buffer.from(`id: ${id}\ndata: x\n\n`)))
      }
      if (isComplete) {
        deliver(() => {
          end()
          listener.onEnd()
        })
      }
    }

    const refuse = (from: ModelEngine): void => {
      const head = describeAnswer(from, request.requestId, true)
      deliver(() => {
        listener.onHead(head)
        if (isOver) return
        end()
        listener.onEnd()
      })
    }

    const arrive = (to: ModelEngine): void => {
      if (isOver) return
      const submitted = to.submit(createEngineRequest(attempt, options))
      if (!submitted.ok) return refuse(to)
      job = submitted.value
      job.listen(() => sendEvents(to, submitted.value))
    }

    clock.setTimer(0, () => {
      if (isOver) return
      if (engine === undefined || broken.has(instance.id)) return fail({ kind: 'notSent', message: 'no connection' })
      if (!listener.maySend(0)) return fail({ kind: 'withdrawn', message: 'not sent' })
      listener.onSent()
      clock.setTimer(delayMs, () => arrive(engine))
    })

    return {
      abort: () => {
        end()
        job?.cancel()
      },
      pause: () => undefined,
      resume: () => undefined
    }
  }

  return {
    create: () => ({
      send,
      probe: async ({ id }) => engines.has(id) && !broken.has(id),
      retain: () => undefined,
      close: () => undefined
    }),
    breakDown: (id) => {
      broken.add(id)
      for (const breakOff of [...breakersByEngine.get(id) ?? []]) breakOff()
    }
  }
}
