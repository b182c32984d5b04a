import { describe, expect, test } from 'vitest'
import { createRunningAttempts } from './createRunningAttempts.js'
import { createSendAttempt, type SendAttempt } from './createSendAttempt.js'
import type { AttemptTarget } from './attemptTarget.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'

const start = () => {
  const clock = createManualClock()
  const events: string[] = []
  const createAttempt = (id: string): SendAttempt => ({
    ...createSendAttempt({ id, recordEnd: () => { events.push(`${id} ended`) } } as unknown as AttemptTarget, clock.now()),
    exchange: { abort: () => { events.push(`${id} aborted`) }, pause: () => {}, resume: () => {} }
  })
  const attempts = createRunningAttempts(clock, ({ target }) => { events.push(`${target.id} resumed`) })
  const [old, next] = [createAttempt('old'), createAttempt('next')]
  attempts.begin(old)
  attempts.setAside()
  attempts.begin(next)
  return { clock, events, attempts, old, next }
}

describe('createRunningAttempts', () => {
  // Guards against an exchange that is given up before the new target has taken the request.
  test('runs the old attempt on while the new one has no answer', () => {
    const { events, attempts, next } = start()
    expect([attempts.active(), events]).toEqual([next, []])
  })

  test('returns to the old attempt when it goes on, and aborts the new one', () => {
    const { events, attempts, old, next } = start()
    expect([attempts.claim(old), attempts.active(), attempts.claim(next)]).toEqual([true, old, false])
    expect(events).toEqual(['next ended', 'next aborted', 'old resumed'])
  })

  test('returns to the old attempt when the new one has ended', () => {
    const { events, attempts, old } = start()
    attempts.endActive()
    expect([attempts.restore(), attempts.active()]).toEqual([true, old])
    expect(events).toEqual(['next ended', 'old resumed'])
  })

  test('gives the old attempt up when the new one has taken the request', () => {
    const { events, attempts, old, next } = start()
    attempts.releaseAside()
    expect([attempts.claim(old), attempts.active(), attempts.restore()]).toEqual([false, next, false])
    expect(events).toEqual(['old ended', 'old aborted'])
  })

  // Guards against two servers that work on one request for long.
  test('gives the old attempt up after a while', () => {
    const { clock, events, attempts } = start()
    attempts.check(clock.now() + 199)
    expect(events).toEqual([])
    attempts.check(clock.now() + 200)
    expect(events).toEqual(['old ended', 'old aborted'])
  })

  test('aborts both when the request ends', () => {
    const { events, attempts } = start()
    attempts.abortAll()
    expect(events).toEqual(['next ended', 'next aborted', 'old ended', 'old aborted'])
  })
})
