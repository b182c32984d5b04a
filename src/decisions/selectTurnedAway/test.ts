import { describe, expect, test } from 'vitest'
import { selectTurnedAway } from './index.js'
import type { TurnAwayContender } from './index.js'

const createContender = (clientAccount: string, changes: Partial<TurnAwayContender> = {}): TurnAwayContender =>
  ({ clientAccount, weight: 1, usage: 10, waitingSince: 0, queuedTokens: 1, priority: 1, repeats: 0, isNewcomer: false, ...changes })

const select = (...contenders: readonly TurnAwayContender[]) => {
  const selected = selectTurnedAway(contenders)
  return [selected?.contender.clientAccount, selected?.contender.priority, selected?.contender.isNewcomer, selected?.reason]
}

describe('selectTurnedAway', () => {
  test('takes the account over its share first, and its least urgent request', () =>
    expect(select(createContender('busy', { usage: 90, priority: 0 }), createContender('busy', { usage: 90, priority: 1 }), createContender('calm', { priority: 2, repeats: 1 }))).toEqual(['busy', 1, false, 'overShare']))
  test('takes a repeat that came too early before a less urgent request', () =>
    expect(select(createContender('early', { priority: 0, repeats: 1 }), createContender('calm', { priority: 2 }))).toEqual(['early', 0, false, 'repeatedEarly']))
  test('takes the least urgent otherwise', () =>
    expect(select(createContender('a', { priority: 2 }), createContender('b', { priority: 0, isNewcomer: true }))).toEqual(['a', 2, false, 'lessUrgent']))
  test('evicts no request for its equal', () =>
    expect(select(createContender('a'), createContender('b', { isNewcomer: true }))).toEqual(['b', 1, true, 'lessUrgent']))
})
