/**
 * Keeps the events of a resumable stream in order. Model engines number events
 * from 1; after a resume some may arrive twice, and a faulty engine may omit some.
 */

export type StreamPosition = {
  /** Number of the last event that was forwarded; 0 before the first. */
  readonly lastId: number
  /** Whether the stream numbers its events; `undefined` before the first one. */
  readonly numbered?: boolean
}

export type StreamEventVerdict =
  | { readonly kind: 'forward', readonly position: StreamPosition }
  /** The event was already forwarded. */
  | { readonly kind: 'drop' }
  /** Events before this one are missing, or its position can't be determined. */
  | { readonly kind: 'gap' }

const WHOLE_NUMBER = /^[1-9][0-9]{0,14}$/

/**
 * Decides by its number what to do with the next event.
 *
 * @param position - How far the stream was forwarded.
 * @param id - The event's id field; `undefined` when it has none.
 * @returns Whether to forward the event, drop it, or treat the stream as broken.
 *
 * @example
 * orderStreamEvent({ lastId: 4, numbered: true }, '4') // => { kind: 'drop' }
 */
export const orderStreamEvent = (position: StreamPosition, id: string | undefined): StreamEventVerdict => {
  if (id === undefined) {
    if (position.numbered === true) return { kind: 'gap' }
    return { kind: 'forward', position: { lastId: 0, numbered: false } }
  }
  if (position.numbered === false || !WHOLE_NUMBER.test(id)) return { kind: 'gap' }
  const number = Number(id)
  if (number <= position.lastId) return { kind: 'drop' }
  if (number > position.lastId + 1) return { kind: 'gap' }
  return { kind: 'forward', position: { lastId: number, numbered: true } }
}
