import { describe, expect, it } from 'vitest'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import { createLedger } from './createLedger.js'

describe('createLedger', () => {
  it('reports the age of a request that is never settled', () => {
    const clock = createManualClock()
    const ledger = createLedger(clock)
    ledger.open()
    clock.advance(1_000)
    ledger.open()('complete')
    expect(ledger.oldestOpenMs()).toBe(1_000)
  })

  it('reports an age of 0 once all requests are settled', () => {
    const ledger = createLedger(createManualClock())
    ledger.open()('refused')
    expect(ledger.oldestOpenMs()).toBe(0)
  })

  it('throws when a request is settled twice', () => {
    const settle = createLedger(createManualClock()).open()
    settle('complete')
    expect(() => settle('complete')).toThrow(/twice/)
  })
})
