import { describe, expect, it } from 'vitest'
import { selectNextAccount } from './index.js'
import type { AccountCandidate } from './index.js'

const createCandidate = (clientAccount: string, overrides: Partial<AccountCandidate> = {}): AccountCandidate => ({ clientAccount, weight: 1, usage: 100, waitingSince: 0, ...overrides })

describe('selectNextAccount', () => {
  it.each<[name: string, contenders: readonly AccountCandidate[], next: string | undefined]>([
    ['selects none when no account is waiting', [], undefined],
    ['prefers less work', [createCandidate('a'), createCandidate('b', { usage: 99 })], 'b'],
    ['prefers less work relative to its weight', [createCandidate('a'), createCandidate('b', { usage: 150, weight: 2 })], 'b'],
    ['prefers the account that has waited longer when work is equal', [createCandidate('a', { waitingSince: 5 }), createCandidate('b')], 'b']
  ])('%s', (_name, candidates, next) => {
    expect(selectNextAccount(candidates)).toBe(next)
  })
})
