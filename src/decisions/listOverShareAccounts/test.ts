import { describe, expect, test } from 'vitest'
import { listOverShareAccounts } from './index.js'

const createContender = (clientAccount: string, usage: number, weight = 1) => ({ clientAccount, usage, weight, waitingSince: 0, queuedTokens: 0 })

describe('listOverShareAccounts', () => {
  test('lists an account that uses over twice the mean of the others', () => expect(listOverShareAccounts([createContender('a', 100), createContender('b', 30), createContender('c', 50)])).toEqual(['a']))
  test('lists none where accounts differ by less', () => expect(listOverShareAccounts([createContender('a', 100), createContender('b', 60)])).toEqual([]))
  test('divides use by weight', () => expect(listOverShareAccounts([createContender('a', 100, 4), createContender('b', 30)])).toEqual([]))
  test('lists no single account', () => expect(listOverShareAccounts([createContender('a', 100)])).toEqual([]))
})
