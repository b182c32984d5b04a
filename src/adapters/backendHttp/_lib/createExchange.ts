/**
 * One request and its answer on a pooled connection, as a handler for undici's
 * `dispatch`. It records whether the request was handed to a connected socket
 * before it failed: only one that was not is certain not to have run.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { errors, type Dispatcher } from 'undici'
import { classifyStatus } from '../../classifyStatus/index.js'
import { hasVerifiableEnd } from '../../hasVerifiableEnd/index.js'
import { failure } from '../../../kernel/failure/index.js'
import { success } from '../../../kernel/success/index.js'
import type { BackendAnswer, BackendError, Headers, Result } from '../../../types/index.js'
import { createBodyQueue, type LastPart } from './createBodyQueue.js'

export type Exchange = {
  readonly handler: Dispatcher.DispatchHandler
  readonly answer: Promise<Result<BackendAnswer, BackendError>>
  readonly abort: (reason: Error) => void
}

const joinHeaders = (headers: IncomingHttpHeaders): Headers => {
  const joined: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue
    const separator = name === 'set-cookie' ? '\n' : ', '
    joined[name.toLowerCase()] = Array.isArray(value) ? value.join(separator) : value
  }
  return joined
}

/**
 * Creates the handler of one request.
 *
 * @param method - Method of the request; an answer to HEAD has no body.
 * @param onEnd - Called once, when the exchange has ended.
 */
export const createExchange = (method: string, onEnd: () => void): Exchange => {
  let controller: Dispatcher.DispatchController | undefined
  let aborted: Error | undefined
  let isWritten = false
  let isEndVerifiable = true
  let settle: (result: Result<BackendAnswer, BackendError>) => void = () => {}
  const answer = new Promise<Result<BackendAnswer, BackendError>>((resolve) => { settle = resolve })

  const describeError = (error: Error): BackendError => {
    if (!isWritten) return { kind: 'notSent', message: error.message }
    return aborted === undefined ? { kind: 'noAnswer', message: error.message } : { kind: 'cancelled' }
  }

  const finish = (part: LastPart): void => {
    queue.finish(part)
    onEnd()
  }

  const abort = (reason: Error): void => {
    aborted ??= reason
    settle(failure(describeError(reason)))
    finish({ kind: 'cut', message: reason.message })
    controller?.abort(reason)
  }

  const queue = createBodyQueue({
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
    abandon: () => abort(new Error('the reader left the answer'))
  })

  /**
   * undici calls this just before it writes to a connected socket. From here on
   * the request may have run, even if the write itself fails: a keep-alive
   * socket that the server has closed accepts bytes just like an open one.
   */
  const onRequestStart = (started: Dispatcher.DispatchController): void => {
    if (isWritten) {
      started.abort(new Error('the request was already written once'))
      return
    }
    controller = started
    if (aborted !== undefined) {
      started.abort(aborted)
      return
    }
    isWritten = true
  }

  /** The request was written, and what came for it is no answer. */
  const failAnswer = (message: string): void => {
    settle(failure({ kind: 'noAnswer', message }))
    finish({ kind: 'cut', message })
    controller?.abort(new Error(message))
  }

  const onResponseStart = (_: Dispatcher.DispatchController, status: number, rawHeaders: IncomingHttpHeaders): void => {
    const statusClass = classifyStatus(status)
    if (statusClass === 'informational') return
    if (statusClass === 'invalid') return failAnswer(`status ${status} is none of HTTP`)
    const headers = joinHeaders(rawHeaders)
    isEndVerifiable = hasVerifiableEnd(method, status, headers)
    settle(success({
      status,
      headers,
      body: queue.body,
      abort: () => abort(new Error('the answer was dropped'))
    }))
  }

  return {
    answer,
    abort,
    handler: {
      onRequestStart,
      onResponseStart,
      onResponseData: (_, chunk) => queue.push(chunk),
      onResponseEnd: () => {
        finish(isEndVerifiable ? { kind: 'end' } : { kind: 'cut', message: 'only the close of the connection ended the body' })
      },
      onResponseError: (_, error) => {
        settle(failure(describeError(error)))
        finish({ kind: 'cut', message: error.message, isIdle: error instanceof errors.BodyTimeoutError })
      }
    }
  }
}
