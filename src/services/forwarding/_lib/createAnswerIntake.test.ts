import { describe, expect, test } from 'vitest'
import { createAnswerIntake } from './createAnswerIntake.js'
import { createCallerAnswer } from './createCallerAnswer.js'
import type { CallerSink, GatewayRequest, InstanceAnswer } from '../../../types/index.js'

const REQUEST: GatewayRequest = {
  requestId: 'r1',
  method: 'POST',
  host: 'shop.example',
  target: '/chat/1',
  headers: [],
  credential: undefined,
  callerTimeoutMs: undefined,
  lastEventId: undefined,
  promptParts: [],
  tokens: { prompt: 1, output: 1 },
  receivedAt: 0
}

const createAnswer = (changes: Partial<InstanceAnswer> = {}): InstanceAnswer => ({
  status: 200,
  headers: [],
  requestId: 'r1',
  isSigned: true,
  isNotRun: false,
  isOtherInstance: false,
  isEncoded: false,
  isEventStream: true,
  contentLength: undefined,
  load: undefined,
  ...changes
})

const createIntake = (answer: InstanceAnswer) => {
  const seen: string[] = []
  const sink: CallerSink = {
    refuse: () => { seen.push('refuse') },
    whole: (_answer, body) => { seen.push(`whole ${body.length}`) },
    head: () => { seen.push('head') },
    data: (bytes) => {
      seen.push(Buffer.from(bytes).toString('utf8').trim())
      return true
    },
    onDrain: () => {},
    end: () => { seen.push('end') },
    fail: () => { seen.push('fail') }
  }
  const caller = createCallerAnswer(sink, undefined)
  const intake = createAnswerIntake(REQUEST, caller, {
    onHead: () => {},
    onNotRun: () => { seen.push('not run') },
    onBroken: (message) => { seen.push(`broken: ${message}`) },
    onStatedFailure: () => { seen.push('stated failure') },
    onWhole: caller.whole,
    onPassed: caller.end
  })
  intake.takeHead(answer)
  return { caller, seen, take: (text: string) => intake.takeData(Buffer.from(text), undefined), end: intake.takeEnd }
}

describe('createAnswerIntake', () => {
  test('gives the caller a stream\'s head with its first whole event', () => {
    const { seen, take } = createIntake(createAnswer())
    take('id: 1\n')
    expect(seen).toEqual([])
    take('data: a\n\n')
    expect(seen).toEqual(['head', 'id: 1\ndata: a'])
  })

  // A caller that has the head of a stream can only be cut off when its server dies before the first event.
  test('leaves the caller without a head when the stream breaks before its first event', () => {
    const { caller, seen, take, end } = createIntake(createAnswer())
    take('id: 1\ndata: half')
    end()
    expect(seen).toEqual(['broken: end in the middle of an event'])
    expect(caller.hasBegun()).toBe(false)
  })

  test('passes a stream without events on as it is', () => {
    const { seen, end } = createIntake(createAnswer())
    end()
    expect(seen).toEqual(['head', 'end'])
  })

  test('holds an answer that is no stream until it is whole', () => {
    const { seen, take, end } = createIntake(createAnswer({ isEventStream: false, contentLength: 4 }))
    take('ab')
    take('cd')
    expect(seen).toEqual([])
    end()
    expect(seen).toEqual(['whole 4'])
  })

  test('tells of a failure that the server states in an event stream\'s place', () => {
    const { seen, end } = createIntake(createAnswer({ status: 500 }))
    end()
    expect(seen).toEqual(['stated failure'])
  })
})
