import { describe, expect, test } from 'vitest'
import { createEventRelay } from './createEventRelay.js'
import type { StreamEvent } from './createEventReader.js'

const createEvent = (id: number | undefined): StreamEvent => ({ id, bytes: Buffer.from(`<${id}>`) })

const take = (firstKnownId: number | undefined, ids: readonly (number | undefined)[]): string => {
  const { bytes, gap } = createEventRelay(firstKnownId).take(ids.map(createEvent))
  return gap ?? Buffer.from(bytes ?? []).toString()
}

describe('createEventRelay', () => {
  test('passes events on in their order', () => expect(take(undefined, [1, 2, 3])).toBe('<1><2><3>'))
  test('leaves out what the caller has', () => expect(take(2, [1, 2, 3])).toBe('<3>'))
  test('finds a gap', () => expect(take(2, [4])).toBe('event 4 after 2'))
  // Events before a gap would be sent again by the server that goes on.
  test('gives the events before a gap, and no more', () => {
    const relay = createEventRelay(undefined)
    const { bytes, gap } = relay.take([createEvent(1), createEvent(2), createEvent(4), createEvent(5)])
    expect(Buffer.from(bytes ?? []).toString()).toBe('<1><2>')
    expect(gap).toBe('event 4 after 2')
    expect(relay.lastEventId()).toBe(2)
  })
  test('passes on events without an id', () => expect(take(2, [undefined, 3])).toBe('<undefined><3>'))
  test('knows the last event', () => {
    const relay = createEventRelay(undefined)
    relay.take([createEvent(1), createEvent(2)])
    expect(relay.lastEventId()).toBe(2)
  })
})
