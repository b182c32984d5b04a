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
  test('drops events that the caller has', () => expect(take(2, [1, 2, 3])).toBe('<3>'))
  test('reports a gap', () => expect(take(2, [4])).toBe('event 4 after 2'))
  // Otherwise the server that resumes the stream would send the events before the gap again.
  test('passes on the events before a gap and none after it', () => {
    const relay = createEventRelay(undefined)
    const { bytes, gap } = relay.take([createEvent(1), createEvent(2), createEvent(4), createEvent(5)])
    expect(Buffer.from(bytes ?? []).toString()).toBe('<1><2>')
    expect(gap).toBe('event 4 after 2')
    expect(relay.lastEventId()).toBe(2)
  })
  test('passes on events without an id', () => expect(take(2, [undefined, 3])).toBe('<undefined><3>'))
  test('returns the id of the last event', () => {
    const relay = createEventRelay(undefined)
    relay.take([createEvent(1), createEvent(2)])
    expect(relay.lastEventId()).toBe(2)
  })
})
