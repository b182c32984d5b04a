import { describe, expect, test } from 'vitest'
import { selectRelayPeer, type RelayCandidate } from './index.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'

const createCandidate = (nodeId: string, changes: Partial<RelayCandidate> = {}): RelayCandidate =>
  ({ nodeId, availabilityZone: 'a', reach: 'some', open: 0, isAvoided: false, ...changes })

const select = (candidates: readonly RelayCandidate[]): string | undefined => selectRelayPeer(candidates, 'a', createSeededRandom(1).next)?.nodeId

describe('selectRelayPeer', () => {
  test('prefers a peer of the own zone', () => {
    expect(select([createCandidate('far', { availabilityZone: 'b' }), createCandidate('near')])).toBe('near')
  })

  test('prefers a peer that reaches servers to one that did not say', () => {
    expect(select([createCandidate('silent', { reach: 'unknown' }), createCandidate('far', { availabilityZone: 'b' })])).toBe('far')
  })

  test('takes a peer that did not say when no other is left', () => {
    expect(select([createCandidate('silent', { reach: 'unknown' }), createCandidate('cut', { reach: 'none' })])).toBe('silent')
  })

  test('takes no peer that is cut off or avoided', () => {
    expect(select([createCandidate('cut', { reach: 'none' }), createCandidate('avoided', { isAvoided: true })])).toBeUndefined()
  })

  test('prefers a peer of another zone to one that did not say in a zone with a peer that is cut off', () => {
    expect(select([createCandidate('cut', { reach: 'none' }), createCandidate('near', { reach: 'unknown' }), createCandidate('far', { reach: 'unknown', availabilityZone: 'b' })])).toBe('far')
  })

  // Guards against the last peer of a zone getting the requests of all nodes of it that are cut off.
  test('spreads to other zones once the peers of the own zone are busy', () => {
    const random = createSeededRandom(2).next
    const open = new Map([['near', 0], ['far-1', 0], ['far-2', 0]])
    for (let count = 0; count < 30; count++) {
      const candidates = [...open].map(([nodeId, value]) => createCandidate(nodeId, { open: value, availabilityZone: nodeId === 'near' ? 'a' : 'b' }))
      const { nodeId } = selectRelayPeer(candidates, 'a', random)!
      open.set(nodeId, open.get(nodeId)! + 1)
    }
    expect(Math.max(...open.values())).toBeLessThanOrEqual(13)
    expect(Math.min(...open.values())).toBeGreaterThanOrEqual(6)
  })
})
