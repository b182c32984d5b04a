import { describe, expect, it } from 'vitest'
import { orderStreamEvent, type StreamPosition } from './index.js'

const FRESH: StreamPosition = { lastId: 0 }
const AT_FOUR: StreamPosition = { lastId: 4, numbered: true }
const UNNUMBERED: StreamPosition = { lastId: 0, numbered: false }

describe('orderStreamEvent', () => {
  it.each<[string, StreamPosition, string | undefined, string]>([
    ['the first', FRESH, '1', 'forward'],
    ['the next', AT_FOUR, '5', 'forward'],
    ['one that came before', AT_FOUR, '4', 'drop'],
    ['a much older one', AT_FOUR, '1', 'drop'],
    ['one too far', AT_FOUR, '6', 'gap'],
    ['a second one as the first', FRESH, '2', 'gap'],
    ['one without a number among numbered ones', AT_FOUR, undefined, 'gap'],
    ['one without a number', UNNUMBERED, undefined, 'forward'],
    ['a number among unnumbered ones', UNNUMBERED, '1', 'gap'],
    ['a number that is none', AT_FOUR, '5x', 'gap'],
    ['zero', FRESH, '0', 'gap']
  ])('judges %s', (_name, position, id, kind) => {
    expect(orderStreamEvent(position, id).kind).toBe(kind)
  })
})
