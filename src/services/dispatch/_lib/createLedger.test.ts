import { describe, expect, it } from 'vitest'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import { createLedger } from './createLedger.js'

describe('createLedger', () => {
  it('shows a request that is never settled by the age of the oldest open one', () => {
    const clock = createManualClock()
    const ledger = createLedger(clock)
    ledger.open()
    clock.advance(1_000)
    ledger.open()('complete')
    expect(ledger.oldestOpenMs()).toBe(1_000)
  })

  it('has no oldest request once all are settled', () => {
    const ledger = createLedger(createManualClock())
    ledger.open()('refused')
    expect(ledger.oldestOpenMs()).toBe(0)
  })

  it('stops at a request that is settled twice', () => {
    const settle = createLedger(createManualClock()).open()
    settle('complete')
    expect(() => settle('complete')).toThrow(/twice/)
  })
})
