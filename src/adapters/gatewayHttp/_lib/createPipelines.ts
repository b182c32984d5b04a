/**
 * Bounds the requests that a caller sends on one connection before it has read their answers.
 * Answers leave in order, so that all but a few wait until earlier ones have left; each takes
 * memory. Tells of the end of each request also where its connection ends before its answer
 * begins, of which node:http tells only the request whose answer is being written.
 */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

export type RequestEvents = {
  /** Adds a listener for the end of the request: its answer or its connection is closed. */
  readonly onEnd: (listener: () => void) => void
  /** Adds a listener for the end of what the caller sends, some turns of the event loop before its connection is closed. */
  readonly onLeft: (listener: () => void) => void
}

export type Pipelines = {
  /** Calls `start` now or once earlier requests have ended; returns `false` if too many wait. */
  readonly add: (socket: Socket, response: ServerResponse, start: (events: RequestEvents) => void) => boolean
}

type Request = { readonly start: () => void, readonly end: () => void, readonly leave: () => void }

type Pipeline = { readonly running: Set<Request>, waiting: Request[] }

/** Requests of one connection that run at a time. */
const MAXIMUM_RUNNING = 4
/** Each takes some kilobytes. A caller that sends more at once does not read their answers in time. */
const MAXIMUM_WAITING = 64

/** Creates the bound for the connections of one listener. */
export const createPipelines = (): Pipelines => {
  const pipelines = new WeakMap<Socket, Pipeline>()

  const getPipeline = (socket: Socket): Pipeline => {
    const known = pipelines.get(socket)
    if (known !== undefined) return known
    const created: Pipeline = { running: new Set(), waiting: [] }
    pipelines.set(socket, created)
    socket.once('end', () => {
      created.waiting = []
      for (const request of [...created.running]) request.leave()
    })
    socket.once('close', () => {
      created.waiting = []
      for (const request of [...created.running]) request.end()
    })
    return created
  }

  const startNext = (pipeline: Pipeline): void => {
    const next = pipeline.running.size < MAXIMUM_RUNNING ? pipeline.waiting.shift() : undefined
    if (next === undefined) return
    pipeline.running.add(next)
    next.start()
  }

  return {
    add: (socket, response, start) => {
      const pipeline = getPipeline(socket)
      if (pipeline.waiting.length >= MAXIMUM_WAITING) return false
      const listeners: (() => void)[] = []
      const leftListeners: (() => void)[] = []
      const request: Request = {
        start: () => start({ onEnd: (listener) => { listeners.push(listener) }, onLeft: (listener) => { leftListeners.push(listener) } }),
        leave: () => { for (const listener of leftListeners) listener() },
        end: () => {
          if (!pipeline.running.delete(request)) return
          for (const listener of listeners) listener()
          startNext(pipeline)
        }
      }
      response.on('close', request.end)
      pipeline.waiting.push(request)
      startNext(pipeline)
      return true
    }
  }
}
