import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { mergeLoadDigest } from './index.js'
import type { LoadRecord } from './index.js'
import { createLoadDigest } from '../createLoadDigest/index.js'
import type { LoadDigest } from '../../types/index.js'

const SEED = 20_261
const SERVERS = ['engine-1', 'engine-2', 'engine-3']

const head = (sequence: number) => ({ source: 'node-1', sequence })

const createDigest = (sequence: number, full: boolean, inFlight: number): LoadDigest =>
  ({ ...head(sequence), full, counts: [{ backendServer: 'engine-1', inFlight }] })

/** The digests of a source whose counts go through these states in turn. */
const createHistory = (states: readonly (readonly number[])[]): readonly LoadDigest[] => {
  const digests: LoadDigest[] = []
  let sent: ReadonlyMap<string, number> | undefined
  for (const state of states) {
    const counts = new Map(SERVERS.map((name, index) => [name, state[index] ?? 0]))
    const digest = createLoadDigest(head(digests.length + 1), counts, sent)
    if (digest === undefined) continue
    digests.push(digest)
    sent = counts
  }
  return digests
}

const withoutZeros = (state: readonly number[]) => new Map(SERVERS.map((name, index) => [name, state[index] ?? 0] as const).filter(([, count]) => count !== 0))

const mergeAll = (digests: readonly LoadDigest[], start?: LoadRecord): LoadRecord | undefined =>
  digests.reduce<LoadRecord | undefined>((known, digest) => mergeLoadDigest(known, digest), start)

const stateArbitrary = fc.array(fc.nat({ max: 3 }), { minLength: SERVERS.length, maxLength: SERVERS.length })
const statesArbitrary = fc.array(stateArbitrary, { minLength: 1, maxLength: 12 })

describe('mergeLoadDigest', () => {
  it('has the latest counts when no digest is lost', () => {
    fc.assert(fc.property(statesArbitrary, (states) => {
      const record = mergeAll(createHistory(states))
      expect(record?.counts).toEqual(withoutZeros(states.at(-1)!))
      expect(record?.hasGap).toBe(false)
    }), { seed: SEED })
  })

  // Without the repair by a full digest, lost, duplicate and reordered digests would leave counts wrong permanently.
  it('equals the actual counts after any losses and one full digest', () => {
    fc.assert(fc.property(statesArbitrary, fc.array(fc.nat({ max: 20 }), { maxLength: 30 }), stateArbitrary, (states, arrivals, truth) => {
      const history = createHistory(states)
      const arrived = arrivals.map((index) => history[index % history.length]!)
      const counts = new Map(SERVERS.map((name, index) => [name, truth[index]!]))
      const full = createLoadDigest(head(history.length + 1), counts, undefined)!
      const record = mergeAll([...arrived, full, ...arrived])
      expect(record?.counts).toEqual(withoutZeros(truth))
      expect(record?.hasGap).toBe(false)
    }), { seed: SEED })
  })

  it.each([
    { case: 'a duplicate digest', arrivals: [createDigest(1, true, 1), createDigest(2, false, 2), createDigest(2, false, 9)], inFlight: 2, hasGap: false },
    { case: 'a late digest', arrivals: [createDigest(1, true, 1), createDigest(3, false, 3), createDigest(2, false, 2)], inFlight: 3, hasGap: true },
    { case: 'a lost digest', arrivals: [createDigest(1, true, 1), createDigest(3, false, 3), createDigest(4, false, 4)], inFlight: 4, hasGap: true },
    { case: 'a full digest after a loss', arrivals: [createDigest(1, true, 1), createDigest(3, false, 3), createDigest(4, true, 5)], inFlight: 5, hasGap: false },
    { case: 'a full digest with the sequence number of the last one after a loss', arrivals: [createDigest(1, true, 1), createDigest(3, false, 3), createDigest(3, true, 4)], inFlight: 4, hasGap: false },
    { case: 'a first digest that is not full', arrivals: [createDigest(7, false, 3)], inFlight: 3, hasGap: true }
  ])('handles $case', ({ arrivals, inFlight, hasGap }) => {
    const record = mergeAll(arrivals)
    expect(record?.counts.get('engine-1')).toBe(inFlight)
    expect(record?.hasGap).toBe(hasGap)
  })
})
