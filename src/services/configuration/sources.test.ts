import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { applyWeight, createStartedFleet, isolateNode, failPlatform, type ConfigurationFleet } from '../../../test/_lib/createConfigurationFleet.js'
import { createSheet } from '../../../test/_lib/createSheet.js'

/** Nodes that start know no peers and all hold a watch; surplus watchers stop when their watch times out. */
const WATCH_TIMEOUT_MS = 30_000

describe('sources of a generation', () => {
  // Guards against a node that falls back to an older root because it cannot fetch a newer one.
  it('does not fall back to an older root when a newer one cannot be fetched', async () => {
    const fleet = createStartedFleet(3)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    fleet.nodes[0]!.platform.setFault((_, name) => name === 'configuration/root' ? 'refused' : 'none')
    await applyWeight(fleet, 2, 1)
    await fleet.run(4_000)
    isolateNode(fleet, fleet.nodes[0]!)
    fleet.nodes[0]!.receiveMember({ ...fleet.nodes[1]!.member(), generation: 3 })
    await fleet.run(4_000)
    expect(fleet.nodes[0]!.holder().current()?.sheet).toEqual(createSheet(2))
    expect(fleet.nodes[0]!.holder().pending()).toMatchObject({ generation: 3, reason: expect.stringContaining('platform: unavailable') })
  })

  // Guards against a node that waits forever for a generation announced by a peer that is gone.
  it('reads from the platform when the peer that announced a generation is gone', async () => {
    const fleet = createStartedFleet(3, 1)
    await applyWeight(fleet, 1, 0)
    await fleet.run(WATCH_TIMEOUT_MS + 4_000)
    isolateNode(fleet, fleet.nodes[2]!)
    await applyWeight(fleet, 2, 1)
    fleet.nodes[2]!.receiveMember({ ...fleet.nodes[0]!.member(), generation: 2 })
    await fleet.run(4_000)
    expect(fleet.generations()).toEqual([2, 2, 2])
  })

  // A zone that loses both watchers at once would otherwise get a new generation only at the next poll.
  it('starts a watch when the watchers of its zone are dead', async () => {
    const fleet = createStartedFleet(3, 1)
    await applyWeight(fleet, 1, 0)
    await fleet.run(WATCH_TIMEOUT_MS + 4_000)
    fleet.nodes[0]!.stop()
    fleet.nodes[1]!.stop()
    await fleet.run(1_000)
    await applyWeight(fleet, 2, 1)
    await fleet.run(2_000)
    expect(fleet.generations()).toEqual([0, 0, 2])
  })
})

type Step = (fleet: ConfigurationFleet, roots: Uint8Array[]) => Promise<void>

const steps: Readonly<Record<string, Step>> = {
  apply: async (fleet, roots) => {
    const plan = await fleet.operator.store.readRoot()
    const generation = plan.ok ? plan.value?.root.generation ?? 0 : 0
    const fleetGeneration = Math.max(...fleet.generations())
    await fleet.operator.apply(createSheet(1 + roots.length), generation, { fleetGeneration })
    roots.push(await fleet.readRootBytes())
  },
  restore: async (fleet, roots) => { if (roots[0] !== undefined) await fleet.overwriteRoot(roots[Math.floor(roots.length / 2)]!) },
  platformDown: async (fleet) => failPlatform(fleet.nodes, 'refused'),
  platformUp: async (fleet) => failPlatform(fleet.nodes, 'none'),
  cut: async (fleet) => isolateNode(fleet, fleet.nodes[0]!),
  heal: async (fleet) => fleet.heal(),
  restart: async (fleet) => {
    fleet.nodes[1]!.stop()
    fleet.nodes[1]!.start()
  }
}

describe('any order of events', () => {
  it('never lowers the generation of a running node, and ends with the last one everywhere', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.constantFrom(...Object.keys(steps)), { maxLength: 20 }), fc.nat(1_000), async (names, seed) => {
      const fleet = createStartedFleet(4, 2, seed)
      const roots: Uint8Array[] = []
      let before = fleet.generations()
      for (const name of names) {
        await steps[name]!(fleet, roots)
        if (name === 'restart') before = fleet.generations()
        await fleet.run(1_000)
        const after = fleet.generations()
        after.forEach((generation, index) => expect(generation).toBeGreaterThanOrEqual(before[index]!))
        before = after
      }
      for (const name of ['platformUp', 'heal', 'apply']) await steps[name]!(fleet, roots)
      await fleet.run(8_000)
      const root = await fleet.operator.store.readRoot()
      const accepted = root.ok ? root.value?.root.generation : undefined
      expect(fleet.generations()).toEqual(Array(4).fill(accepted))
    }), { seed: 20_261_202, numRuns: 60 })
  })
})
