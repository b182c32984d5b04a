import { describe, expect, test } from 'vitest'
import { createDeferredCalls } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'

const DELAY_MS = 500

const createCalls = (load?: () => Promise<string[]>) => {
  const clock = createManualClock()
  const target: string[] = []
  const failures: unknown[] = []
  let loads = 0
  const calls = createDeferredCalls<string[]>({
    load: load ?? (async () => {
      loads += 1
      return target
    }),
    delayMs: DELAY_MS,
    clock,
    onFailure: (error) => { failures.push(error) }
  })
  return { clock, target, failures, calls, countLoads: () => loads }
}

describe('createDeferredCalls', () => {
  test('loads nothing and runs nothing before the delay', async () => {
    const { clock, target, calls, countLoads } = createCalls()
    calls.run((lines) => lines.push('first'))
    await clock.advanceAndSettle(DELAY_MS - 1)
    expect(countLoads()).toBe(0)
    expect(target).toEqual([])
  })

  test('runs buffered calls in order, and later calls at once', async () => {
    const { clock, target, calls } = createCalls()
    calls.run((lines) => lines.push('first'))
    calls.run((lines) => lines.push('second'))
    await clock.advanceAndSettle(DELAY_MS)
    expect(target).toEqual(['first', 'second'])
    calls.run((lines) => lines.push('third'))
    expect(target).toEqual(['first', 'second', 'third'])
  })

  test('loads the target once when opened before the delay', async () => {
    const { clock, target, calls, countLoads } = createCalls()
    calls.run((lines) => lines.push('first'))
    await Promise.all([calls.open(), calls.open()])
    await clock.advanceAndSettle(DELAY_MS)
    expect(target).toEqual(['first'])
    expect(countLoads()).toBe(1)
  })

  test('reports a target that cannot be loaded, and buffers nothing more', async () => {
    const { clock, failures, calls } = createCalls(() => Promise.reject(new Error('missing')))
    calls.run(() => {})
    await clock.advanceAndSettle(DELAY_MS)
    expect(failures).toEqual([new Error('missing')])
    await expect(calls.open()).rejects.toThrow('missing')
  })
})
