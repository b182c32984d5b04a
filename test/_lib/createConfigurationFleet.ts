/**
 * Creates several configuration holders over one in-memory platform and network.
 * A simplified gossip replaces the membership service: every 500 ms each node
 * receives the generation of all other nodes whose link to it is not cut.
 */
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { createManualClock } from '../../src/emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../src/emulator/createMemoryPeerNetwork/index.js'
import { createMemoryPlatform } from '../../src/emulator/createMemoryPlatform/index.js'
import { computeSha256 } from '../../src/kernel/index.js'
import { createConfiguration } from '../../src/services/configuration/index.js'
import { createFaultyPlatform, type CallFault, type FaultyPlatform } from './createFaultyPlatform.js'
import { createSheet } from './createSheet.js'
import { createImmediateClock, createOperator, type Operator } from './createOperator.js'
import type { ConfigurationHolder, Logger, Member, PeerAddress, Platform } from '../../src/types/index.js'

export type FleetNode = {
  readonly nodeId: string
  readonly availabilityZone: string
  readonly holder: () => ConfigurationHolder
  readonly platform: FaultyPlatform
  readonly start: () => void
  /** Stops the node and discards its memory, as when its VM is replaced; `start` starts it again. */
  readonly stop: () => void
  readonly member: () => Member
  readonly receiveMember: (member: Member) => void
}

export type ConfigurationFleet = {
  readonly nodes: readonly FleetNode[]
  readonly platform: Platform
  readonly operator: Operator
  readonly run: (durationMs: number) => Promise<void>
  readonly generations: () => readonly number[]
  readonly cut: (one: FleetNode, other: FleetNode) => void
  readonly heal: () => void
  /** Overwrites the root object with older bytes, as a restore from a backup does. */
  readonly overwriteRoot: (bytes: Uint8Array) => Promise<void>
  readonly readRootBytes: () => Promise<Uint8Array>
}

const GOSSIP_INTERVAL_MS = 500
const silentLogger: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

export const createConfigurationFleet = (size: number, zones = 3, seed = 1, changes: Partial<Platform> = {}): ConfigurationFleet => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock })
  const platform = { ...createMemoryPlatform(clock), ...changes }
  const cuts = new Set<string>()

  const createNode = (index: number): FleetNode => {
    const nodeId = `router-${index}`
    const availabilityZone = `venkov-${'abcdefgh'[index % zones]}`
    const address: PeerAddress = { host: nodeId, port: 1 }
    const faulty = createFaultyPlatform(platform)
    const knownMembers = new Map<string, Member>()
    let listeners: (() => void)[] = []
    let starts = 0
    let service: ReturnType<typeof createConfiguration> | undefined

    const build = (): ReturnType<typeof createConfiguration> => createConfiguration({
      platform: faulty,
      peerTransport: network.createTransport(address),
      peers: () => [...knownMembers.values()],
      onPeerChange: (listener) => { listeners.push(listener) },
      clock,
      random: createSeededRandom(seed * 1000 + index + starts * 100),
      logger: silentLogger,
      hashContent: computeSha256
    }, { nodeId, availabilityZone, watchTimeoutMs: 30_000, peerTimeoutMs: 200 })

    return {
      nodeId,
      availabilityZone,
      platform: faulty,
      holder: () => service!.api,
      start: () => {
        starts += 1
        service = build()
        service.start?.()
      },
      stop: () => {
        service?.stop?.()
        service = undefined
        listeners = []
        knownMembers.clear()
      },
      member: () => ({ nodeId, incarnation: starts, address, availabilityZone, state: service === undefined ? 'dead' : 'live', generation: service?.api.generation() ?? 0 }),
      receiveMember: (member) => {
        knownMembers.set(member.nodeId, member)
        for (const listener of listeners) listener()
      }
    }
  }

  const nodes = Array.from({ length: size }, (_, index) => createNode(index))
  const isCut = (one: FleetNode, other: FleetNode): boolean => cuts.has(`${one.nodeId} ${other.nodeId}`) || cuts.has(`${other.nodeId} ${one.nodeId}`)

  const gossip = (): void => {
    for (const node of nodes) {
      if (node.member().state === 'dead') continue
      for (const other of nodes) if (other !== node && !isCut(node, other)) node.receiveMember(other.member())
    }
  }

  const readRootBytes = async (): Promise<Uint8Array> => {
    const found = await platform.readObject('configuration/root')
    if (!found.ok || found.value === undefined) throw new Error('object configuration/root not found on the platform')
    return found.value.bytes
  }

  return {
    nodes,
    platform,
    operator: createOperator('jana', platform, createImmediateClock()),
    run: async (durationMs) => {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += GOSSIP_INTERVAL_MS) {
        gossip()
        await clock.advanceAndSettle(GOSSIP_INTERVAL_MS)
      }
    },
    generations: () => nodes.map((node) => node.member().generation),
    cut: (one, other) => {
      cuts.add(`${one.nodeId} ${other.nodeId}`)
      network.cut(one.member().address, other.member().address)
    },
    heal: () => {
      cuts.clear()
      network.healAll()
    },
    overwriteRoot: async (bytes) => {
      const found = await platform.readObject('configuration/root')
      if (found.ok && found.value !== undefined) await platform.updateObject('configuration/root', bytes, found.value.version)
    },
    readRootBytes
  }
}

export const createStartedFleet = (size: number, zones?: number, seed?: number): ConfigurationFleet => {
  const fleet = createConfigurationFleet(size, zones, seed)
  for (const node of fleet.nodes) node.start()
  return fleet
}

export const failPlatform = (nodes: readonly FleetNode[], fault: CallFault): void => {
  for (const node of nodes) node.platform.setFault(() => fault)
}

export const applyWeight = async (fleet: ConfigurationFleet, weight: number, against: number): Promise<void> => {
  const outcome = await fleet.operator.apply(createSheet(weight), against)
  if (outcome.kind !== 'applied') throw new Error(`sheet apply failed: ${outcome.kind}`)
}

export const isolateNode = (fleet: ConfigurationFleet, node: FleetNode): void => {
  for (const other of fleet.nodes) if (other !== node) fleet.cut(node, other)
}
