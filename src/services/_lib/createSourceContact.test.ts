import { describe, expect, test } from 'vitest'
import { createSourceContact } from './createSourceContact.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'

const start = () => {
  const clock = createManualClock()
  const outages: unknown[] = []
  const contact = createSourceContact({ clock, logger: { info: (_message, fields) => { outages.push(fields?.outageMs) } } }, { minimumOutageMs: 2_400 })
  contact.record()
  return { clock, contact, outages }
}

describe('createSourceContact', () => {
  test('knows of no outage while the source answers often enough', () => {
    const { clock, contact, outages } = start()
    for (let call = 0; call < 5; call++) {
      clock.advance(2_300)
      contact.record()
    }
    expect([contact.outageEndedAgoMs(), outages]).toEqual([Infinity, []])
  })

  test('counts from the first answer after an outage', () => {
    const { clock, contact, outages } = start()
    clock.advance(6_000)
    contact.record()
    clock.advance(100)
    contact.record()
    clock.advance(400)
    expect([contact.outageEndedAgoMs(), outages]).toEqual([500, [6_000]])
  })

  test('takes a peer\'s answer for its age, and no later answer for an outage', () => {
    const { clock, contact, outages } = start()
    clock.advance(6_000)
    contact.record(4_000)
    contact.record(1_700)
    contact.record()
    expect([contact.outageEndedAgoMs(), outages]).toEqual([Infinity, []])
  })

  test('ignores a peer that has never reached the source', () => {
    const { clock, contact, outages } = start()
    clock.advance(6_000)
    contact.record(Infinity)
    expect([contact.outageEndedAgoMs(), outages]).toEqual([Infinity, []])
    contact.record()
    expect([contact.outageEndedAgoMs(), outages]).toEqual([0, [6_000]])
  })
})
