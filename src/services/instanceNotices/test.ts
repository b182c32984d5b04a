import { describe, expect, test } from 'vitest'
import { createInstanceNotices } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { BackendInstance } from '../../types/index.js'

const createServer = (id: string, incarnation = 1): BackendInstance =>
  ({ id, service: 'engines', address: { host: id, port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation, warmUpMs: 0 })

const SERVER = createServer('engine-1')

const start = () => {
  const clock = createManualClock()
  const lines: string[] = []
  const leaving: string[] = []
  const { api } = createInstanceNotices({ clock, logger: { info: (message) => { lines.push(message) } }, metrics: { count: () => {} }, refusals: { recordLimit: () => {} }, registry: { markLeaving: ({ id }) => { leaving.push(id) } } })
  return { clock, lines, leaving, api, askForBackoff: (backoffMs: number, server = SERVER): void => api.record(server, { backoffMs, isLeaving: false }) }
}

describe('backoffRemainingMs', () => {
  test('counts down from the backoff that the server asked for', async () => {
    const { clock, api, askForBackoff } = start()
    askForBackoff(3_000)
    await clock.advanceAndSettle(1_000)
    expect(api.backoffRemainingMs(SERVER)).toBe(2_000)
    await clock.advanceAndSettle(2_000)
    expect(api.backoffRemainingMs(SERVER)).toBe(0)
  })

  test('is 0 for another server', () => {
    const { api, askForBackoff } = start()
    askForBackoff(3_000)
    expect(api.backoffRemainingMs(createServer('engine-2'))).toBe(0)
  })

  // A refusal that asks for less than is left would let requests through early.
  test('is not shortened by a later answer', () => {
    const { api, askForBackoff } = start()
    askForBackoff(3_000)
    askForBackoff(500)
    api.record(SERVER, { backoffMs: undefined, isLeaving: false })
    expect(api.backoffRemainingMs(SERVER)).toBe(3_000)
  })

  test('is extended by a later answer that asks for more', async () => {
    const { clock, api, askForBackoff } = start()
    askForBackoff(3_000)
    await clock.advanceAndSettle(2_000)
    askForBackoff(3_000)
    expect(api.backoffRemainingMs(SERVER)).toBe(3_000)
  })

  // The list of backend servers may lag behind the run of the server that answered.
  test('holds for a newer run of the server', () => {
    const { api, askForBackoff } = start()
    askForBackoff(3_000, createServer('engine-1', 1))
    expect(api.backoffRemainingMs(createServer('engine-1', 2))).toBe(3_000)
  })
})

test('marks a server as leaving that states so', () => {
  const { api, leaving } = start()
  api.record(SERVER, { backoffMs: undefined, isLeaving: false })
  expect(leaving).toEqual([])
  api.record(SERVER, { backoffMs: 1_000, isLeaving: true })
  expect(leaving).toEqual(['engine-1'])
  expect(api.backoffRemainingMs(SERVER)).toBe(1_000)
})

test('logs the beginning of a backoff once', async () => {
  const { clock, lines, askForBackoff } = start()
  askForBackoff(1_000)
  askForBackoff(2_000)
  expect(lines).toEqual(['backend server backoff begun'])
  await clock.advanceAndSettle(2_000)
  askForBackoff(1_000)
  expect(lines).toHaveLength(2)
})
