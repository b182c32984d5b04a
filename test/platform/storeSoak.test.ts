/** Soak of the platform's store. SOAK_SEEDS sets the number of seeds, SOAK_FIRST_SEED the first. */
import { afterEach, describe, expect, test } from 'vitest'
import { CALLERS_PER_NODE, listBrokenPromises, measureServed, NODES, NONE_BROKEN, playStoreSoak } from './_lib/playStoreSoak.js'

const SEEDS = Number(process.env.SOAK_SEEDS ?? 1)
const FIRST_SEED = Number(process.env.SOAK_FIRST_SEED ?? 1)

const closing: (() => Promise<void>)[] = []

afterEach(async () => { for (const close of closing.splice(0).reverse()) await close() })

describe('a store whose connections go silent, and that is away at times', () => {
  // Guards against orders to servers that are gone, orders that run twice or are refused although they run, and processes that end.
  test.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))('hides no server that leaves, and loses none that serves (seed %i)', async (seed) => {
    const soak = await playStoreSoak(seed, { onStarted: (close) => closing.push(close) })
    const { count, share } = measureServed(soak)
    expect(listBrokenPromises(soak)).toEqual(NONE_BROKEN)
    expect(count).toBeGreaterThan(CALLERS_PER_NODE * NODES.length)
    expect(share).toBeGreaterThan(0.98)
  })
})
