/**
 * Keeps the events of a resumable stream in order. Model engines number events
 * from 1; after a resume some may arrive twice, and a faulty engine may omit some.
 */

export type StreamPosition = {
  /** Number of the last event that was forwarded; 0 before the first. */
  readonly lastId: number
  /** Whether the stream numbers its events; `undefined` before the first one. */
  readonly isNumbered?: boolean
}

export type StreamEventDecision =
  | { readonly kind: 'forward', readonly position: StreamPosition }
  /** The event was already forwarded. */
  | { readonly kind: 'drop' }
  /** Events before this one are missing, or its position can't be determined. */
  | { readonly kind: 'gap' }

const POSITIVE_INTEGER = /^[1-9][0-9]{0,14}$/

/**
 * Decides by its number what to do with the next event.
 *
 * @param position - How far the stream was forwarded.
 * @param id - The event's id field; `undefined` when it has none.
 * @returns Whether to forward the event, drop it, or treat the stream as broken.
 *
 * @example
 * evaluateStreamEvent({ lastId: 4, isNumbered: true }, '4') // => { kind: 'drop' }
 */
export const evaluateStreamEvent = (position: StreamPosition, id: string | undefined): StreamEventDecision => {
  if (id === undefined) {
    if (position.isNumbered === true) return { kind: 'gap' }
    return { kind: 'forward', position: { lastId: 0, isNumbered: false } }
  }
  if (position.isNumbered === false || !POSITIVE_INTEGER.test(id)) return { kind: 'gap' }
  const number = Number(id)
  if (number <= position.lastId) return { kind: 'drop' }
  if (number > position.lastId + 1) return { kind: 'gap' }
  return { kind: 'forward', position: { lastId: number, isNumbered: true } }
}
