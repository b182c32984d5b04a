/**
 * Load counts without names: a backend server is its place in the sheet of one
 * generation. At 600 servers names would make up most of the control traffic.
 */
import type { LoadSnapshot } from '../../types/index.js'

export type PackedCounts = Pick<LoadSnapshot, 'indexes' | 'inFlight'>

const MAXIMUM_COUNT = 0xffff
const MAXIMUM_SMALL_COUNT = 0xff

/**
 * Packs counts into typed arrays.
 *
 * @param counts - Requests in flight by place in the sheet; those without any are left out.
 * @returns The places and, in the same order, the counts, in one byte each where all fit.
 *
 * @example
 * packLoadCounts(new Map([[4, 2]])) // => { indexes: Uint16Array [4], inFlight: Uint8Array [2] }
 */
export const packLoadCounts = (counts: ReadonlyMap<number, number>): PackedCounts => {
  const entries = [...counts].filter(([, inFlight]) => inFlight > 0)
  const values = entries.map(([, inFlight]) => Math.min(MAXIMUM_COUNT, inFlight))
  const isSmall = values.every((value) => value <= MAXIMUM_SMALL_COUNT)
  return {
    indexes: Uint16Array.from(entries, ([index]) => index),
    inFlight: isSmall ? Uint8Array.from(values) : Uint16Array.from(values)
  }
}

/**
 * Unpacks counts.
 *
 * @param packed - Places and counts, as a peer sent them.
 * @returns Requests in flight by place in the sheet.
 *
 * @example
 * unpackLoadCounts(packLoadCounts(counts)) // => counts
 */
export const unpackLoadCounts = ({ indexes, inFlight }: PackedCounts): ReadonlyMap<number, number> => {
  const counts = new Map<number, number>()
  indexes.forEach((index, place) => counts.set(index, inFlight[place] ?? 0))
  return counts
}
