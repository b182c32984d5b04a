/**
 * Keeps the events of a resumable stream in order. Engines number them from 1;
 * after a resume some may come twice, and a faulty engine may leave some out.
 */

export type StreamPosition = {
  /** Number of the last event that was passed on; 0 before the first. */
  readonly lastId: number
  /** Whether the stream numbers its events; unknown before the first one. */
  readonly numbered?: boolean
}

export type StreamEventVerdict =
  | { readonly kind: 'forward', readonly position: StreamPosition }
  /** Passed on already. */
  | { readonly kind: 'drop' }
  /** Events before this one are missing, or its place can't be told. */
  | { readonly kind: 'gap' }

const WHOLE_NUMBER = /^[1-9][0-9]{0,14}$/

/**
 * Judges the next event by its number.
 *
 * @param position - What was passed on so far.
 * @param id - The event's id field, when it has one.
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
