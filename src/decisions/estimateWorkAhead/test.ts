import { describe, expect, test } from 'vitest'
import { estimateWorkAhead } from './index.js'

const createAccount = (queuedTokens: number, usage = 0, weight = 1) => ({ queuedTokens, usage, weight })

describe('estimateWorkAhead', () => {
  test('lets others use as much as the request and what its account has waiting', () => expect(estimateWorkAhead({ own: createAccount(10), tokens: 5, others: [createAccount(90), createAccount(3)] })).toBe(28))
  test('puts the work of an account behind that has used more', () => expect(estimateWorkAhead({ own: createAccount(0), tokens: 5, others: [createAccount(90, 40)] })).toBe(0))
  test('puts the work of an account ahead that has used less', () => expect(estimateWorkAhead({ own: createAccount(0, 40), tokens: 5, others: [createAccount(90)] })).toBe(45))
  test('lets an account of more weight use more', () => expect(estimateWorkAhead({ own: createAccount(0), tokens: 5, others: [createAccount(90, 0, 3)] })).toBe(15))
})
