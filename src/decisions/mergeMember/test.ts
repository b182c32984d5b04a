import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { mergeMember } from './index.js'
import { refuteSuspicion } from '../refuteSuspicion/index.js'
import type { Member, MemberState } from '../../types/index.js'

const SEED = 20_262
const STATES: readonly MemberState[] = ['live', 'suspect', 'leaving', 'dead']

const createMember = (changes: Partial<Member> = {}): Member =>
  ({ nodeId: 'node-1', incarnation: 5, address: { host: 'node-1', port: 1 }, availabilityZone: 'venkov-a', state: 'live', generation: 0, ...changes })

const memberArbitrary = fc.record({ incarnation: fc.nat({ max: 3 }), state: fc.constantFrom(...STATES), generation: fc.nat({ max: 3 }) }).map(createMember)

describe('mergeMember', () => {
  it('gives the same record in whatever order gossip updates arrive', () => {
    fc.assert(fc.property(fc.array(memberArbitrary, { minLength: 1, maxLength: 6 }), fc.infiniteStream(fc.nat()), (records, picks) => {
      const shuffled = [...records]
      for (let index = shuffled.length - 1; index > 0; index--) {
        const other = picks.next().value % (index + 1)
        const kept = shuffled[index]!
        shuffled[index] = shuffled[other]!
        shuffled[other] = kept
      }
      const mergeAll = (all: readonly Member[]) => [...all, ...all].reduce<Member | undefined>(mergeMember, undefined)
      expect(mergeAll(shuffled)).toEqual(mergeAll(records))
    }), { seed: SEED })
  })

  it.each([
    { known: { state: 'live' }, received: { state: 'suspect' }, state: 'suspect' },
    { known: { state: 'suspect' }, received: { state: 'live' }, state: 'suspect' },
    { known: { state: 'suspect' }, received: { state: 'live', incarnation: 6 }, state: 'live' },
    { known: { state: 'leaving' }, received: { state: 'suspect' }, state: 'leaving' },
    { known: { state: 'leaving' }, received: { state: 'dead' }, state: 'dead' },
    { known: { state: 'dead' }, received: { state: 'live', incarnation: 6 }, state: 'live' },
    { known: { state: 'live' }, received: { state: 'dead', incarnation: 4 }, state: 'live' }
  ] as const)('merges $known and $received to $state', ({ known, received, state }) => {
    expect(mergeMember(createMember(known), createMember(received)).state).toBe(state)
  })
})

describe('refuteSuspicion', () => {
  it('wins against any gossip update about this node', () => {
    fc.assert(fc.property(memberArbitrary, memberArbitrary, (record, update) => {
      const self = { ...record, state: 'live' as const }
      const refuted = refuteSuspicion(self, update)
      expect(mergeMember(update, refuted).state).toBe('live')
    }), { seed: SEED })
  })

  it('keeps the incarnation when the gossip update is correct', () => {
    const self = createMember()
    expect(refuteSuspicion(self, createMember())).toBe(self)
  })
})
