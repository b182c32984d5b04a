import { afterEach, describe, expect, it } from 'vitest'
import { createSystemClock } from '../src/adapters/systemClock/index.js'
import { composeAnswer } from '../src/emulator/composeAnswer/index.js'
import { createModelEngineServer, type ModelEngineServer } from '../src/emulator/createModelEngineServer/index.js'
import { createPlainServiceServer } from '../src/emulator/createPlainServiceServer/index.js'
import type { FaultCommand } from '../src/emulator/createFaultSwitches/index.js'
import { CALLER_KEY, createDispatchHarness, MODEL, type DispatchHarness } from './_lib/createDispatchHarness.js'

const CHATS = 12
const clock = createSystemClock()

let closers: (() => Promise<void>)[] = []

afterEach(async () => {
  for (const close of closers.reverse()) await close()
  closers = []
})

const startEngines = async (): Promise<{ readonly engines: readonly ModelEngineServer[], readonly harness: DispatchHarness }> => {
  const engines = await Promise.all([1, 2].map(() => createModelEngineServer({ clock, engine: { decodeIntervalMs: 1, decodeIntervalPerRequestMs: 0 } })))
  closers.push(...engines.map(({ close }) => close))
  const harness = await createDispatchHarness({ origins: engines.map(({ url }) => url) })
  closers.push(harness.close)
  return { engines, harness }
}

const createMessages = (chat: number) => [{ role: 'user', content: `Chat ${chat}: is there ravioli?` }]

const readStreamedText = (text: string): string => text.split('\n')
  .filter((line) => line.startsWith('data: {'))
  .map((line) => JSON.parse(line.slice('data: '.length)).choices?.[0]?.delta?.content ?? '')
  .join('')

/** Sends a chat and returns the text that the caller accepts as its answer; `undefined` when it receives an error. */
const sendChat = async (url: string, chat: number, stream: boolean): Promise<string | undefined> => {
  try {
    const response = await fetch(`${url}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: MODEL, stream, messages: createMessages(chat) }),
      headers: { authorization: `Bearer ${CALLER_KEY}`, 'content-type': 'application/json', 'x-deadline-ms': '4000' }
    })
    const text = await response.text()
    if (response.status !== 200) return undefined
    if (!stream) return JSON.parse(text).choices[0].message.content
    return text.endsWith('data: [DONE]\n\n') ? readStreamedText(text) : 'a stream that closed normally without its end marker'
  } catch {
    return undefined
  }
}

describe('many chats on an engine that fails', () => {
  /*
   * Twelve concurrent chats, some of whose answers the engine breaks. Guards against a
   * caller that gets a truncated answer as complete or the answer of another request
   * instead of a complete answer or an error.
   */
  it.each<[FaultCommand, boolean, 'all' | 'none']>([
    [{ fault: 'refuseConnections' }, true, 'all'],
    [{ fault: 'resetAfterRead', count: 5 }, true, 'all'],
    [{ fault: 'resetAfterRead', count: 5 }, false, 'all'],
    [{ fault: 'crossedAnswer', count: 5 }, true, 'all'],
    [{ fault: 'crossedAnswer', count: 5 }, false, 'all'],
    [{ fault: 'cutAnswer', count: 8, after: 5 }, true, 'all'],
    [{ fault: 'cutAnswer', count: 8, after: 2 }, false, 'all'],
    [{ fault: 'truncateAnswer', count: 8, after: 5 }, true, 'all'],
    [{ fault: 'truncateAnswer', count: 8, after: 2 }, false, 'all'],
    [{ fault: 'duplicateEvent', after: 3 }, true, 'all'],
    [{ fault: 'leaving' }, true, 'all'],
    [{ fault: 'overloaded', count: 6 }, false, 'all'],
    [{ fault: 'lateAnswer', ms: 300 }, true, 'all'],
    [{ fault: 'freezeAnswer', after: 4 }, true, 'none']
  ])('answers each chat wholly or not at all: %j, stream %s', async (fault, stream, answered) => {
    const { engines, harness } = await startEngines()
    expect(engines[0]?.faults.apply(fault)).toBe(true)
    const answers = await Promise.all(Array.from({ length: CHATS }, (_, chat) => sendChat(harness.url, chat, stream)))
    const expected = answers.map((answer, chat) => answer === undefined ? undefined : composeAnswer(createMessages(chat)).text)
    expect(answers).toEqual(expected)
    expect(answers.filter((answer) => answer !== undefined).length).toBe(answered === 'all' ? CHATS : 0)
    await harness.dispatch.whenIdle()
    const { accepted, complete, refused, unknown, open } = harness.dispatch.ledger()
    expect([accepted, complete + refused + unknown, open]).toEqual([CHATS, CHATS, 0])
  })
})

describe('many orders on a service that fails', () => {
  /*
   * An order that ran would be refused as not run. The caller would then place it
   * again, and it would be executed twice.
   */
  it.each<[FaultCommand]>([
    [{ fault: 'refuseConnections' }],
    [{ fault: 'resetAfterRead', count: 5 }],
    [{ fault: 'crossedAnswer', count: 5 }],
    [{ fault: 'cutAnswer', count: 5, after: 1 }],
    [{ fault: 'truncateAnswer', count: 5, after: 1 }],
    [{ fault: 'overloaded', count: 5 }],
    [{ fault: 'leaving' }]
  ])('runs each at most once and reports correctly whether it ran: %j', async (fault) => {
    const services = await Promise.all([1, 2].map(() => createPlainServiceServer({ clock })))
    closers.push(...services.map(({ close }) => close))
    const harness = await createDispatchHarness({ origins: services.map(({ url }) => url) })
    closers.push(harness.close)
    services[0]?.faults.apply(fault)
    const outcomes = await Promise.all(Array.from({ length: CHATS }, async (_, order) => {
      const response = await fetch(`${harness.url}/stock/orders`, { method: 'POST', body: `order ${order}`, headers: { authorization: `Bearer ${CALLER_KEY}`, 'idempotency-key': `k${order}` } })
      const body = JSON.parse(await response.text())
      return response.status === 201 ? body.received === `order ${order}` ? 'complete' : 'foreign' : body.error.outcome
    }))
    const runs = outcomes.map((_outcome, order) => services.flatMap(({ journal }) => journal.entries()).filter(({ idempotencyKey }) => idempotencyKey === `k${order}`).length)
    expect(Math.max(...runs)).toBeLessThanOrEqual(1)
    for (const [order, outcome] of outcomes.entries()) {
      if (outcome === 'complete') expect(runs[order]).toBe(1)
      else expect([outcome, runs[order]]).toEqual(outcome === 'not-run' ? ['not-run', 0] : ['unknown', 1])
    }
  })
})
