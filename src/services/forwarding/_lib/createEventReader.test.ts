import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { createEventReader } from './createEventReader.js'

const read = (chunks: readonly string[]): { readonly events: readonly string[], readonly ids: readonly (number | undefined)[], readonly pending: number } => {
  const reader = createEventReader()
  const events = chunks.flatMap((chunk) => reader.push(Buffer.from(chunk)))
  return { events: events.map(({ bytes }) => Buffer.from(bytes).toString()), ids: events.map(({ id }) => id), pending: reader.pendingBytes() }
}

const STREAM = 'id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nweights: 4\nid:3\ndata: three\n\n'

describe('createEventReader', () => {
  test('reads events and their ids', () => expect(read([STREAM])).toMatchObject({ ids: [1, 2, 3], pending: 0 }))
  test('holds back an incomplete event', () => expect(read(['id: 1\ndata: one\n\nid: 2\nda'])).toMatchObject({ ids: [1], pending: 8 }))
  test('reads an event without an id', () => expect(read(['data: x\n\n']).ids).toEqual([undefined]))
  test('changes no byte, wherever the stream is cut into chunks', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: STREAM.length - 1 }), { maxLength: 12 }), (cuts) => {
      const edges = [0, ...[...new Set(cuts)].sort((left, right) => left - right), STREAM.length]
      const chunks = edges.slice(1).map((edge, index) => STREAM.slice(edges[index], edge))
      const { events, ids } = read(chunks)
      expect(events.join('')).toBe(STREAM)
      expect(ids).toEqual([1, 2, 3])
    }), { seed: 11 })
  })
})
