import { describe, expect, it } from 'vitest'
import { shareFairly } from './index.js'
import type { Contender } from './index.js'

const createContender = (clientAccount: string, overrides: Partial<Contender> = {}): Contender => ({ clientAccount, weight: 1, usage: 100, waitingSince: 0, ...overrides })

describe('shareFairly', () => {
  it.each<[name: string, contenders: readonly Contender[], next: string | undefined]>([
    ['selects none when no account is waiting', [], undefined],
    ['prefers less work', [createContender('a'), createContender('b', { usage: 99 })], 'b'],
    ['prefers less work relative to its weight', [createContender('a'), createContender('b', { usage: 150, weight: 2 })], 'b'],
    ['prefers the account that has waited longer when work is equal', [createContender('a', { waitingSince: 5 }), createContender('b')], 'b']
  ])('%s', (_name, contenders, next) => {
    expect(shareFairly(contenders)).toBe(next)
  })
})
