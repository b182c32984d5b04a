import { describe, expect, it } from 'vitest'
import { rankBackendServers } from '../rankBackendServers/index.js'
import { chooseBackendServer } from './index.js'

const createCandidates = (inFlight: Readonly<Record<string, number>>) =>
  Object.entries(inFlight).map(([name, count]) => ({ name, weight: 8, inFlight: count }))

const excluded: ReadonlySet<string> = new Set()
const options = { loadTarget: 1.25 }

describe('chooseBackendServer', () => {
  it('chooses nothing when there is no candidate', () => {
    expect(chooseBackendServer({ chatKey: 'chat', isNewChat: true, excluded }, [], options)).toBeUndefined()
  })

  it('places a returning chat on its hinted server', () => {
    const candidates = createCandidates({ a: 4, b: 4, c: 4 })
    const choice = chooseBackendServer({ chatKey: 'chat', isNewChat: false, excluded, hintedBackendServer: 'b' }, candidates, options)
    expect(choice?.name).toBe('b')
  })

  it('skips the hinted server when it is at its load bound', () => {
    const candidates = createCandidates({ a: 2, b: 20, c: 2 })
    const choice = chooseBackendServer({ chatKey: 'chat', isNewChat: false, excluded, hintedBackendServer: 'b' }, candidates, options)
    expect(choice?.name).not.toBe('b')
  })

  it('ignores a hinted server that is not a candidate', () => {
    const candidates = createCandidates({ a: 0 })
    const choice = chooseBackendServer({ chatKey: 'chat', isNewChat: false, excluded, hintedBackendServer: 'gone' }, candidates, options)
    expect(choice?.name).toBe('a')
  })

  it('places a returning chat without a hint on the highest-ranked server', () => {
    const candidates = createCandidates({ a: 4, b: 4, c: 4 })
    const choice = chooseBackendServer({ chatKey: 'chat', isNewChat: false, excluded }, candidates, options)
    expect(choice).toBe(rankBackendServers('chat', candidates)[0])
  })

  it('places a new chat on the least loaded of its `newChatChoices` highest-ranked servers', () => {
    const ranked = rankBackendServers('chat', createCandidates({ a: 0, b: 0, c: 0 })).map(({ name }) => name)
    const candidates = ranked.map((name, rank) => ({ name, weight: 8, inFlight: [5, 4, 0][rank] ?? 0 }))
    const choice = chooseBackendServer({ chatKey: 'chat', isNewChat: true, excluded }, candidates, { loadTarget: 3, newChatLoadTarget: 3, newChatChoices: 2 })
    expect(choice?.name).toBe(ranked[1])
  })

  it('does not place a new chat on a server that a returning chat may still use', () => {
    const candidates = createCandidates({ a: 10, b: 8, c: 8 })
    const place = (isNewChat: boolean) => chooseBackendServer({ chatKey: 'chat', isNewChat, excluded, hintedBackendServer: 'a' }, candidates, { loadTarget: 1.4 })
    expect([place(false)?.name, place(true)?.name]).toEqual(['a', expect.not.stringMatching('a')])
  })

  it('compares loads relative to the slots of a server', () => {
    const candidates = [{ name: 'small', weight: 1, inFlight: 2 }, { name: 'large', weight: 8, inFlight: 4 }]
    const choice = chooseBackendServer({ chatKey: 'chat', isNewChat: true, excluded }, candidates, { loadTarget: 10 })
    expect(choice?.name).toBe('large')
  })

  it('includes an excluded server in the mean but does not choose it', () => {
    const candidates = createCandidates({ a: 0, b: 9, c: 9 })
    const choice = chooseBackendServer({ chatKey: 'chat', isNewChat: true, excluded: new Set(['a']) }, candidates, { loadTarget: 1.25, loadLimit: 1.5 })
    expect(['b', 'c']).toContain(choice?.name)
  })

  it('chooses nothing when every remaining server is at the limit', () => {
    const candidates = createCandidates({ a: 0, b: 12, c: 12 })
    const choice = chooseBackendServer({ chatKey: 'chat', isNewChat: true, excluded: new Set(['a']) }, candidates, { loadTarget: 1.25, loadLimit: 1.4 })
    expect(choice).toBeUndefined()
  })
})
