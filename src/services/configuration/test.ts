import { describe, expect, it } from 'vitest'
import { applyWeight, createConfigurationFleet, createStartedFleet, failPlatform, type ConfigurationFleet } from '../../../test/_lib/createConfigurationFleet.js'
import type { CallFault } from '../../../test/_lib/createFaultyPlatform.js'
import { createSheet } from '../../../test/_lib/createSheet.js'

const damageChunks = async (fleet: ConfigurationFleet): Promise<void> => {
  const list = await fleet.platform.listObjects('configuration/chunks/')
  if (!list.ok) return
  for (const { name, version } of list.value.objects) await fleet.platform.updateObject(name, new Uint8Array([0]), version)
}

const deleteChunks = async (fleet: ConfigurationFleet): Promise<void> => {
  const list = await fleet.platform.listObjects('configuration/chunks/')
  if (!list.ok) return
  for (const { name, version } of list.value.objects) await fleet.platform.deleteObject(name, version)
}

describe('configuration in force', () => {
  it('says that no sheet has been applied while there is none', async () => {
    const fleet = createStartedFleet(1)
    await fleet.run(1_000)
    expect(fleet.nodes[0]!.holder().current()).toBeUndefined()
    expect(fleet.nodes[0]!.holder().pending()).toEqual({ generation: 0, reason: 'no sheet has been applied yet' })
  })

  it.each([1, 9, 45])('is everywhere within 4 s of its acceptance at %i nodes', async (size) => {
    const fleet = createStartedFleet(size)
    await fleet.run(2_000)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    expect(new Set(fleet.generations())).toEqual(new Set([1]))
    await applyWeight(fleet, 2, 1)
    await fleet.run(4_000)
    expect(new Set(fleet.generations())).toEqual(new Set([2]))
    expect(fleet.nodes[0]!.holder().current()?.sheet).toEqual(createSheet(2))
  })

  it('is announced once per generation', async () => {
    const fleet = createStartedFleet(3)
    const announced: number[] = []
    fleet.nodes[2]!.holder().onChange(({ generation }) => announced.push(generation))
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    await applyWeight(fleet, 2, 1)
    await fleet.run(4_000)
    expect(announced).toEqual([1, 2])
  })

  it('is watched by only two nodes per zone', async () => {
    const fleet = createStartedFleet(12)
    await fleet.run(90_000)
    const watchers = fleet.nodes.filter(({ platform }) => platform.calls().at(-1) === 'watch')
    expect(watchers).toHaveLength(6)
  })
})

describe('configuration under faults', () => {
  // A replaced VM must be able to serve while the platform is down.
  it.each<CallFault>(['refused', 'paused'])('a node that boots while the platform is "%s" gets the configuration from its peers', async (fault) => {
    const fleet = createStartedFleet(3)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    failPlatform(fleet.nodes, fault)
    fleet.nodes[2]!.stop()
    fleet.nodes[2]!.start()
    await fleet.run(4_000)
    expect(fleet.generations()).toEqual([1, 1, 1])
  })

  it('a node that boots with neither platform nor peers has no configuration and reports why', async () => {
    const fleet = createConfigurationFleet(1)
    failPlatform(fleet.nodes, 'refused')
    fleet.nodes[0]!.start()
    await fleet.run(2_000)
    expect(fleet.nodes[0]!.holder().pending()).toEqual({ generation: 0, reason: 'platform: unavailable' })
  })

  // Guards against a node that keeps an old generation because it cannot reach the platform.
  it('a node without platform gets a new generation from its peers', async () => {
    const fleet = createStartedFleet(3)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    failPlatform([fleet.nodes[1]!], 'refused')
    await applyWeight(fleet, 2, 1)
    await fleet.run(4_000)
    expect(fleet.generations()).toEqual([2, 2, 2])
  })

  // Guards against a partitioned zone that loses its generation, or lags after the partition has healed.
  it('a zone that is cut off keeps its generation and catches up when healed', async () => {
    const fleet = createStartedFleet(6)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    const zone = fleet.nodes.filter(({ availabilityZone }) => availabilityZone === 'venkov-a')
    for (const inside of zone) for (const outside of fleet.nodes) if (!zone.includes(outside)) fleet.cut(inside, outside)
    failPlatform(zone, 'paused')
    await applyWeight(fleet, 2, 1)
    await fleet.run(10_000)
    expect(fleet.generations()).toEqual([1, 2, 2, 1, 2, 2])
    fleet.heal()
    await fleet.run(4_000)
    expect(new Set(fleet.generations())).toEqual(new Set([2]))
  })

  // Guards against a damaged chunk that removes the generation in force.
  it.each([
    ['damaged', damageChunks, 'sent bytes of another hash'],
    ['missing', deleteChunks, 'does not have it']
  ])('a chunk that is %s at the platform leaves the last generation in force and is reported', async (_, spoil, reason) => {
    const fleet = createStartedFleet(3)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    failPlatform(fleet.nodes, 'refused')
    await applyWeight(fleet, 2, 1)
    await spoil(fleet)
    failPlatform(fleet.nodes, 'none')
    await fleet.run(10_000)
    expect(fleet.generations()).toEqual([1, 1, 1])
    expect(fleet.nodes[0]!.holder().pending()).toMatchObject({ generation: 2, reason: expect.stringContaining(reason) })
  })

  // A chunk that is damaged at the platform must still be fetched from peers.
  it('a damaged chunk is fetched from a peer that has it intact', async () => {
    const fleet = createStartedFleet(2, 1)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    await damageChunks(fleet)
    fleet.nodes[1]!.stop()
    fleet.nodes[1]!.start()
    await fleet.run(8_000)
    expect(fleet.generations()).toEqual([1, 1])
  })

  // Guards against a platform restored from a backup that moves nodes to an older generation.
  it('never goes back when the platform serves an older root', async () => {
    const fleet = createStartedFleet(3)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    const older = await fleet.readRootBytes()
    await applyWeight(fleet, 2, 1)
    await fleet.run(4_000)
    await fleet.overwriteRoot(older)
    fleet.nodes[2]!.stop()
    fleet.nodes[2]!.start()
    await fleet.run(10_000)
    expect(fleet.generations()).toEqual([2, 2, 2])
    expect(fleet.nodes[0]!.holder().pending()).toMatchObject({ reason: expect.stringContaining('the platform is back at generation 1') })
  })

  // Guards against two sheets under the same generation that go unnoticed.
  it('reports that the platform has another sheet under the generation in force', async () => {
    const fleet = createStartedFleet(1)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    const older = await fleet.readRootBytes()
    await applyWeight(fleet, 2, 1)
    await fleet.run(4_000)
    await fleet.overwriteRoot(older)
    await applyWeight(fleet, 3, 1)
    await fleet.run(4_000)
    expect(fleet.nodes[0]!.holder().current()?.sheet).toEqual(createSheet(2))
    expect(fleet.nodes[0]!.holder().pending()).toMatchObject({ generation: 2, reason: expect.stringContaining('another configuration under generation 2') })
  })

  // Guards against a generation accepted during a long outage that is only found by the next poll.
  it('takes a generation within seconds after a long outage', async () => {
    const fleet = createStartedFleet(4, 1)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    failPlatform(fleet.nodes, 'refused')
    await applyWeight(fleet, 2, 1)
    await fleet.run(300_000)
    expect(fleet.generations()).toContain(1)
    failPlatform(fleet.nodes, 'none')
    await fleet.run(4_000)
    expect(new Set(fleet.generations())).toEqual(new Set([2]))
  })
})

describe('watch at the platform', () => {
  // Guards against a root that is not read again after a failed read until the sheet changes once more.
  it('reads a root again after its first read failed', async () => {
    const fleet = createStartedFleet(1)
    await applyWeight(fleet, 1, 0)
    await fleet.run(4_000)
    let reads = 0
    fleet.nodes[0]!.platform.setFault((call, name) => name === 'configuration/root' && call === 'read' && reads++ === 0 ? 'refused' : 'none')
    await applyWeight(fleet, 2, 1)
    await fleet.run(4_000)
    expect(fleet.generations()).toEqual([2])
  })
})

describe('platform under stress', () => {
  // A platform that ends watches at once would otherwise get thousands of calls a second.
  it('is called with pauses when it ends watches at once', async () => {
    const fleet = createConfigurationFleet(1, 1, 1, { watchObjects: async () => ({ ok: true, value: { revision: 0, changes: [] } }) })
    fleet.nodes[0]!.start()
    await fleet.run(60_000)
    expect(fleet.nodes[0]!.platform.calls().length).toBeLessThan(200)
  })
})
