import { describe, expect, it } from 'vitest'
import { evaluateStreamEvent, type StreamPosition } from './index.js'

const BEFORE_FIRST: StreamPosition = { lastId: 0 }
const AT_FOUR: StreamPosition = { lastId: 4, isNumbered: true }
const UNNUMBERED: StreamPosition = { lastId: 0, isNumbered: false }

describe('evaluateStreamEvent', () => {
  it.each<[string, StreamPosition, string | undefined, string]>([
    ['the first event', BEFORE_FIRST, '1', 'forward'],
    ['the next event', AT_FOUR, '5', 'forward'],
    ['a duplicate of the last event', AT_FOUR, '4', 'drop'],
    ['a duplicate of an older event', AT_FOUR, '1', 'drop'],
    ['an event after a gap', AT_FOUR, '6', 'gap'],
    ['event 2 as the first event', BEFORE_FIRST, '2', 'gap'],
    ['an event without a number in a numbered stream', AT_FOUR, undefined, 'gap'],
    ['an event without a number in an unnumbered stream', UNNUMBERED, undefined, 'forward'],
    ['a number in an unnumbered stream', UNNUMBERED, '1', 'gap'],
    ['an id that is not a number', AT_FOUR, '5x', 'gap'],
    ['zero', BEFORE_FIRST, '0', 'gap']
  ])('handles %s', (_name, position, id, kind) => {
    expect(evaluateStreamEvent(position, id).kind).toBe(kind)
  })
})
