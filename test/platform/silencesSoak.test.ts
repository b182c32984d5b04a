/**
 * Soak of connections that go silent for good while new ones work: between nodes, to backend servers and to the store, in
 * series and overlapping, beside outages of the store, servers that leave and daemons that stop. SOAK_SEEDS sets the number
 * of seeds, SOAK_FIRST_SEED the first.
 */
import { afterEach, describe, expect, test } from 'vitest'
import { CALLERS_PER_NODE, listBrokenPromises, measureServed, NODES, NONE_BROKEN, playStoreSoak, type SoakEvent } from './_lib/playStoreSoak.js'
import { SILENCEABLE_PROGRAM } from './_lib/startStoreFleet.js'

const SEEDS = Number(process.env.SOAK_SEEDS ?? 1)
const FIRST_SEED = Number(process.env.SOAK_FIRST_SEED ?? 1)

const closing: (() => Promise<void>)[] = []

afterEach(async () => { for (const close of closing.splice(0).reverse()) await close() })

/** Silences the outgoing connections of one node to its peers, to servers and store, or both. */
const silenceNode = (signals: readonly NodeJS.Signals[]): SoakEvent => (fleet, pick) => {
  const node = fleet.find(pick(NODES))
  for (const signal of signals) node?.process.signal(signal)
}

/** The same at all nodes. */
const silenceAll = (signals: readonly NodeJS.Signals[]): SoakEvent => (fleet) => {
  for (const name of NODES) for (const signal of signals) fleet.find(name)?.process.signal(signal)
}

const DISRUPTIONS: readonly SoakEvent[] = [silenceNode(['SIGUSR2']), silenceNode(['SIGWINCH']), silenceAll(['SIGUSR2']), silenceAll(['SIGUSR2', 'SIGWINCH'])]

describe('connections that go silent between nodes, to servers and to the store', () => {
  // Guards against orders to servers that are gone, orders that run twice or are refused although they run, and processes that end.
  test.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))('hide no server that leaves, and lose none that serves (seed %i)', async (seed) => {
    const soak = await playStoreSoak(seed, { onStarted: (close) => closing.push(close), disruptions: DISRUPTIONS, program: SILENCEABLE_PROGRAM })
    const { count, share } = measureServed(soak)
    expect(listBrokenPromises(soak)).toEqual(NONE_BROKEN)
    expect(count).toBeGreaterThan(CALLERS_PER_NODE * NODES.length)
    expect(share).toBeGreaterThan(0.98)
  })
})
