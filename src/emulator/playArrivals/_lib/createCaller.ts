/** Sends the requests of callers to a node, repeats refused ones where the caller does, and leaves when the caller does. */
import type { CallerSink, Clock, ForwardedRequest, Forwarding, GatewayRequest, Timer } from '../../../types/index.js'
import type { CallerArrival } from '../../createArrivals/index.js'

export type CallOutcome = {
  readonly arrival: CallerArrival
  readonly outcome: 'complete' | 'refused' | 'brokenOff' | 'left'
  /** Milliseconds from the first attempt to the first event; `undefined` without one. */
  readonly firstTokenMs: number | undefined
  /** Requests that the caller sent, its repeats included. */
  readonly attempts: number
}

export type Caller = {
  readonly call: (arrival: CallerArrival, node: Pick<Forwarding, 'begin'>) => void
}

export type CallerOptions = {
  readonly clock: Clock
  readonly maximumAnswerTokens: number
  readonly record: (outcome: CallOutcome) => void
}

const BYTES_PER_TOKEN = 4

const countPromptTokens = ({ promptParts }: CallerArrival): number => promptParts.reduce((sum, { tokens }) => sum + tokens, 0)

const createRequest = (arrival: CallerArrival, maximumAnswerTokens: number, now: number): GatewayRequest => ({
  requestId: arrival.requestId,
  method: 'POST',
  host: 'model.example',
  target: `/${arrival.kind.name}/`,
  headers: [],
  credential: arrival.account,
  callerTimeoutMs: arrival.kind.timeoutMs,
  lastEventId: undefined,
  promptParts: arrival.promptParts,
  tokens: { prompt: countPromptTokens(arrival), output: maximumAnswerTokens },
  estimatedOutputTokens: arrival.estimatedAnswerTokens,
  receivedAt: now
})

/** Creates the callers. */
export const createCaller = ({ clock, maximumAnswerTokens, record }: CallerOptions): Caller => ({
  call: (arrival, node) => {
    const startedAt = clock.now()
    const body = new Uint8Array(BYTES_PER_TOKEN * countPromptTokens(arrival))
    let firstTokenMs: number | undefined
    let attempts = 0
    let current: ForwardedRequest | undefined
    let leaveTimer: Timer | undefined
    let isOver = false

    const end = (outcome: CallOutcome['outcome']): void => {
      if (isOver) return
      isOver = true
      leaveTimer?.cancel()
      record({ arrival, outcome, firstTokenMs, attempts })
    }

    const sink: CallerSink = {
      hasLeft: () => isOver,
      refuse: () => {
        if (attempts > arrival.repeats) return end('refused')
        clock.setTimer(0, send)
      },
      complete: () => end('brokenOff'),
      head: () => undefined,
      data: () => {
        firstTokenMs ??= clock.now() - startedAt
        return true
      },
      onDrain: () => undefined,
      end: () => end('complete'),
      fail: () => end('brokenOff')
    }

    const send = (): void => {
      if (isOver) return
      attempts += 1
      current = node.begin(createRequest(arrival, maximumAnswerTokens, clock.now()), sink)
      current.submit(body)
    }

    const leave = (): void => {
      if (firstTokenMs !== undefined) return
      end('left')
      current?.cancel()
    }

    if (arrival.leavesAfterMs !== undefined) leaveTimer = clock.setTimer(arrival.leavesAfterMs, leave)
    send()
  }
})
