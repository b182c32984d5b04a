import { describe, expect, it } from 'vitest'
import { planLoadPublication } from './index.js'

const plan = (totalAt: number | undefined): number => planLoadPublication({ publishedAt: 1_000, totalAt, periodMs: 400 })

describe('planLoadPublication', () => {
  it('follows the total', () => expect(plan(1_030)).toBe(1_370))

  it('goes on without a total', () => expect(plan(undefined)).toBe(1_600))

  it('gets into step with a total that comes late', () => expect(plan(1_500)).toBe(1_840))

  it('publishes in the end when one total comes after the other', () => expect(plan(1_900)).toBe(2_000))

  it('publishes no more often when a total comes early', () => expect(plan(800)).toBe(1_200))
})
