import { describe, expect, it } from 'vitest'
import { rankBackendServers } from './index.js'

const createCandidates = (count: number) => Array.from({ length: count }, (_, index) => ({ name: `engine-${index}`, weight: 8 }))
const namesFor = (chatKey: string, candidates: readonly { readonly name: string, readonly weight: number }[]) =>
  rankBackendServers(chatKey, candidates).map(({ name }) => name)

describe('rankBackendServers', () => {
  it('gives an empty ranking for no candidates', () => {
    expect(rankBackendServers('chat', [])).toEqual([])
  })

  it('does not depend on the order of the candidates', () => {
    const candidates = createCandidates(6)
    expect(namesFor('chat', [...candidates].reverse())).toEqual(namesFor('chat', candidates))
  })

  it('keeps the order of the others when one leaves', () => {
    const candidates = createCandidates(6)
    const before = namesFor('chat', candidates)
    const after = namesFor('chat', candidates.filter(({ name }) => name !== before[0]))
    expect(after).toEqual(before.slice(1))
  })

  it('spreads first ranks in proportion to the weights', () => {
    const candidates = [{ name: 'small', weight: 1 }, { name: 'large', weight: 3 }]
    const firsts = Array.from({ length: 4000 }, (_, index) => namesFor(`chat-${index}`, candidates)[0])
    const share = firsts.filter((name) => name === 'large').length / firsts.length
    expect(share).toBeCloseTo(0.75, 1)
  })

  it('does not change its argument', () => {
    const candidates = Object.freeze(createCandidates(3))
    expect(() => rankBackendServers('chat', candidates)).not.toThrow()
  })
})
