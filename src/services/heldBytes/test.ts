import { describe, expect, test } from 'vitest'
import { createHeldBytes } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { HeldLimits } from '../../types/index.js'

const LIMITS: HeldLimits = { totalBytes: 1_000_000, callerBytes: 200_000 }
const IDLE_MS = 10_000

const start = () => {
  const clock = createManualClock()
  const lines: string[] = []
  const write = (message: string, { reason, unreadBytes }: { readonly reason?: unknown, readonly unreadBytes?: unknown } = {}): void => { lines.push([message, reason, unreadBytes].filter((part) => part !== undefined).join(' ')) }
  const { api } = createHeldBytes({ clock, logger: { info: write, warn: write }, metrics: { count: () => {} } }, LIMITS)
  const open = (requestId: string) => {
    const state = { unread: 0, isEnded: false, isPaused: false, resumed: 0 }
    const entry = api.open({ requestId, readUnreadBytes: () => state.unread, maximumUnreadMs: IDLE_MS, end: () => { state.isEnded = true } })
    return {
      state,
      entry,
      /** Writes bytes of which the connection takes none. */
      write: (bytes: number): boolean => {
        state.unread += bytes
        const mayGoOn = entry!.recordWrite(bytes)
        state.isPaused = !mayGoOn
        if (!mayGoOn) {
          entry!.onResume(() => {
            state.resumed += 1
            state.isPaused = false
          }, () => 0)
        }
        return mayGoOn
      }
    }
  }
  return { clock, api, open, lines }
}

describe('the service of held bytes', () => {
  test('counts nothing without a bound', () => {
    const { api } = createHeldBytes({ clock: createManualClock(), logger: { info: () => {}, warn: () => {} }, metrics: { count: () => {} } }, undefined)
    expect([api.open({ requestId: 'r', readUnreadBytes: () => 1, maximumUnreadMs: 1, end: () => {} }), api.hasRoomFor(1e12)]).toEqual([undefined, true])
  })

  test('pauses an answer that holds what one connection may, and resumes it once the caller has read', async () => {
    const { clock, open } = start()
    const slow = open('r')
    expect([slow.write(200_000), slow.write(1)]).toEqual([true, false])
    slow.state.unread = 50_000
    await clock.advanceAndSettle(250)
    expect(slow.state.resumed).toBe(1)
  })

  test('resumes at once when everything was read', () => {
    const { open } = start()
    const slow = open('r')
    slow.write(300_000)
    slow.state.unread = 0
    slow.entry!.recordRead()
    expect(slow.state.resumed).toBe(1)
  })

  test('ends a connection that reads nothing for the idle time, and logs its bytes', async () => {
    const { clock, open, lines } = start()
    const stuck = open('r')
    stuck.write(100_000)
    await clock.advanceAndSettle(IDLE_MS)
    expect([stuck.state.isEnded, lines]).toEqual([true, ['answer ended unread unread 100000']])
  })

  test('refuses bodies near the bound, and takes them again once a connection has ended', () => {
    const { api, open } = start()
    const body = open('body')
    expect([body.entry!.recordBody(850_000), open('other').entry!.recordBody(100_000), api.hasRoomFor(100_000)]).toEqual([true, false, false])
    body.entry!.close()
    expect([api.hasRoomFor(100_000), api.countBytes()]).toEqual([true, { requestBody: 0, bufferedAnswer: 0, unreadAnswer: 0, pausedAnswer: 0 }])
  })

  // Load pattern: many callers that read nothing; the node must stay under its bound with those that read beside them.
  test('stays under the bound however many callers read nothing, and lets those that read go on', async () => {
    const { clock, api, open } = start()
    const slow = Array.from({ length: 8 }, (_, index) => open(`slow-${index}`))
    const reader = open('reader')
    for (let round = 0; round < 40; round++) {
      for (const one of slow) if (!one.state.isEnded && !one.state.isPaused) one.write(20_000)
      reader.write(20_000)
      reader.state.unread = 0
      reader.entry!.recordRead()
      await clock.advanceAndSettle(200)
      expect(api.countBytes().unreadAnswer).toBeLessThan(LIMITS.totalBytes)
    }
    expect(reader.state.isEnded).toBe(false)
  })
})
