import { describe, expect, test } from 'vitest'
import { createInstanceRegistry } from './index.js'
import type { InstanceRegistryOptions, RunningInstanceRegistry } from './index.js'
import { createSourceContact, type SourceContact } from '../_lib/createSourceContact.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { failure, success } from '../../kernel/index.js'
import type { BackendInstance, InstanceChange, InstanceUpdate, InstanceSource, Logger } from '../../types/index.js'

const SILENT_LOGGER: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

const MINIMUM_OUTAGE_MS = 2_400

const createServer = (id: string, changes: Partial<BackendInstance> = {}): BackendInstance =>
  ({ id, service: 'engines', address: { host: '10.0.0.1', port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0, ...changes })

const createUpdate = (changes: Partial<InstanceUpdate>): InstanceUpdate =>
  ({ isWhole: false, instances: [], removed: [], position: { origin: 1, sequence: 1 }, ...changes })

/** A source with one list that can change or become unavailable. */
const createSource = (clock: ReturnType<typeof createManualClock>) => {
  let servers: readonly BackendInstance[] = []
  let revision = 1
  let isUnavailable = false
  const changes: InstanceChange[] = []
  const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })
  const source: InstanceSource = {
    list: async () => {
      await wait(5)
      if (isUnavailable) return failure({ kind: 'unavailable', message: 'away' })
      return success({ entries: servers.map((instance) => ({ name: instance.id, instance })), revision })
    },
    watch: async () => {
      await wait(100)
      if (isUnavailable) return failure({ kind: 'unavailable', message: 'away' })
      return success({ changes: changes.splice(0), revision })
    }
  }
  return {
    source,
    put: (next: readonly BackendInstance[]) => {
      servers = next
      revision += 1
    },
    /** What the next watch reports. */
    change: (next: readonly BackendInstance[]) => {
      revision += 1
      changes.push(...next.map((instance) => ({ name: instance.id, instance, isRemoved: false })))
    },
    remove: (name: string) => {
      revision += 1
      changes.push({ name, isRemoved: true })
    },
    setUnavailable: (next: boolean) => { isUnavailable = next }
  }
}

const startRegistry = async (options: Pick<InstanceRegistryOptions, 'enterVersions'> = {}) => {
  const clock = createManualClock()
  const remote = createSource(clock)
  remote.put([createServer('engine-1'), createServer('engine-2')])
  const contact = createSourceContact({ clock, logger: SILENT_LOGGER }, { minimumOutageMs: MINIMUM_OUTAGE_MS })
  const registry = createInstanceRegistry({ clock, source: remote.source, logger: SILENT_LOGGER }, { watchWaitMs: 100, drainMs: 2_000, contact, ...options })
  await registry.start?.()
  await clock.advanceAndSettle(50)
  return { clock, remote, registry, contact }
}

const listIds = ({ api }: RunningInstanceRegistry): readonly string[] => api.list('engines').map(({ id }) => id)

describe('an update from a peer', () => {
  // A peer with a stale list added a server again that had been removed, after its drain time.
  test('of an older revision does not add a removed server again', async () => {
    const { registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ removed: ['engine-2'] }), 10, 0)
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2')] }), 9, 0)
    expect(listIds(registry)).toEqual(['engine-1'])
  })

  test('of a newer revision adds it again', async () => {
    const { registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ removed: ['engine-2'] }), 10, 0)
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2')] }), 11, 0)
    expect(listIds(registry)).toEqual(['engine-1', 'engine-2'])
  })

  // In an outage nodes ask each other: one that had dropped servers by mistake made all others drop them.
  test('removes no server that this node has read from the source at that revision or later', async () => {
    const { registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ removed: ['engine-2'] }), registry.api.revision(), 0)
    expect(listIds(registry)).toEqual(['engine-1', 'engine-2'])
    registry.applyPeerUpdate(createUpdate({ removed: ['engine-2'] }), registry.api.revision() + 1, 0)
    expect(listIds(registry)).toEqual(['engine-1'])
  })

  test('with a newer incarnation adds it again, however old the revision', async () => {
    const { registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ removed: ['engine-2'] }), 10, 0)
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2', { incarnation: 2 })] }), 9, 0)
    expect(listIds(registry)).toEqual(['engine-1', 'engine-2'])
  })

  // A restarted node has no record of removals: it added what a peer had learnt late, and no removal came after it.
  test('adds no server that the source no longer had when this node read it', async () => {
    const { registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-9')] }), registry.api.revision() - 1, 500)
    expect(listIds(registry)).toEqual(['engine-1', 'engine-2'])
  })

  // A server that was kept only in case its entry had expired in an outage was reported to a peer as present.
  test('omits servers that are kept only until their entries may reappear', async () => {
    const { clock, remote, registry } = await startRegistry()
    const position = registry.position()
    remote.setUnavailable(true)
    await clock.advanceAndSettle(500)
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2', { slots: 9 })] }), 2, 500)
    await clock.advanceAndSettle(MINIMUM_OUTAGE_MS)
    remote.put([createServer('engine-1')])
    remote.setUnavailable(false)
    await clock.advanceAndSettle(500)
    expect(listIds(registry)).toEqual(['engine-1', 'engine-2'])
    expect(registry.createPeerUpdate(position, 0).instances.map(({ id }) => id)).toEqual([])
    await clock.advanceAndSettle(2_500)
    expect(listIds(registry)).toEqual(['engine-1'])
  })
})

describe('a server whose entry is missing once the list is read again', () => {
  const readAfter = async (unavailableMs: number, record: (contact: SourceContact) => void = () => {}): Promise<readonly string[]> => {
    const { clock, remote, registry, contact } = await startRegistry()
    remote.setUnavailable(true)
    await clock.advanceAndSettle(unavailableMs / 2)
    record(contact)
    await clock.advanceAndSettle(unavailableMs / 2)
    remote.put([createServer('engine-1')])
    remote.setUnavailable(false)
    await clock.advanceAndSettle(500)
    return listIds(registry)
  }

  // One failed watch kept a removed server for two more seconds, past the time for which it serves.
  test('is removed at once after a watch that failed', async () => {
    expect(await readAfter(500)).toEqual(['engine-1'])
  })

  // A silent connection looks like an outage to the watch on it, while other reads and peers reach the source.
  test('is removed at once if the source answered another call meanwhile', async () => {
    expect(await readAfter(4_000, (contact) => contact.record())).toEqual(['engine-1'])
  })

  test('is kept after an outage in which its entry can have expired', async () => {
    expect(await readAfter(2_600)).toEqual(['engine-1', 'engine-2'])
  })

  // What a peer read before the outage proves nothing about the time since.
  test('is kept if a peer\'s last read was before the outage', async () => {
    expect(await readAfter(4_000, (contact) => contact.record(2_000))).toEqual(['engine-1', 'engine-2'])
  })
})

/** Years ahead of any clock, and still a whole number. */
const FUTURE = 9_000_000_000_000_000

describe('an entry of another writer under the id of a server, with a start in the future', () => {
  const addressOf = ({ api }: RunningInstanceRegistry, id: string) => api.list('engines').find((instance) => instance.id === id)?.address.port

  const ODD = createServer('engine-2', { incarnation: FUTURE, address: { host: '10.0.0.9', port: 9 } })

  // The server's own entry was taken for a stale copy for good: nothing was sent to it any more.
  test.each<[string, Partial<BackendInstance>, (registry: RunningInstanceRegistry) => void, readonly string[]]>([
    ['the server writes over it', {}, () => {}, []],
    ['it is removed', {}, () => {}, ['engine-2']],
    ['another server answered at its address', {}, (registry) => registry.api.markGone(ODD, 'another backend server has its address'), []],
    ['it said that the server is leaving, and is removed', { isLeaving: true }, () => {}, ['engine-2']],
    ['it said that the server is leaving', { isLeaving: true }, () => {}, []]
  ])('ends when %s, at nodes that read the source and at those that ask peers', async (_what, changes, happen, removed) => {
    const { clock, remote, registry } = await startRegistry()
    remote.put([createServer('engine-1'), { ...ODD, ...changes }])
    remote.setUnavailable(true)
    await clock.advanceAndSettle(200)
    remote.setUnavailable(false)
    await clock.advanceAndSettle(500)
    happen(registry)
    if (removed.length > 0) remote.put([createServer('engine-1')])
    remote.put([createServer('engine-1'), createServer('engine-2')])
    remote.setUnavailable(true)
    await clock.advanceAndSettle(200)
    remote.setUnavailable(false)
    await clock.advanceAndSettle(500)
    expect(addressOf(registry, 'engine-2')).toBe(1)

    const { registry: relying } = await startRegistry()
    relying.applyPeerUpdate(createUpdate({ instances: [{ ...ODD, ...changes }] }), 10, 0)
    happen(relying)
    relying.applyPeerUpdate(createUpdate({ removed }), 11, 0)
    relying.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2')] }), 12, 0)
    expect(addressOf(relying, 'engine-2')).toBe(1)
  })

  test('doesn\'t come back from a peer whose list is late', async () => {
    const { registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ instances: [ODD] }), 10, 0)
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2')] }), 12, 0)
    registry.applyPeerUpdate(createUpdate({ instances: [ODD] }), 11, 0)
    expect(addressOf(registry, 'engine-2')).toBe(1)
    expect(registry.api.recentlyRemoved()).toEqual([])
  })
})

describe('an update from a peer of another build', () => {
  // The build before took any digits for an address, and sends such entries to its peers in a rolling update.
  test('adds no server whose address can\'t be used', async () => {
    const { registry } = await startRegistry()
    const addresses = [{ host: '127.0.0.1', port: 82_233 }, { host: '127.0.0.300', port: 1 }, { host: '10.0.0.1', port: 0 }, {}, undefined].map((address) => address as BackendInstance['address'])
    const instances = addresses.map((address, index) => createServer(`engine-${index + 3}`, { address }))
    registry.applyPeerUpdate(createUpdate({ instances: [...instances, createServer('engine-9')] }), 10, 0)
    expect(listIds(registry)).toEqual(['engine-1', 'engine-2', 'engine-9'])
    registry.applyPeerUpdate(createUpdate({ isWhole: true, instances: [createServer('engine-1'), ...instances] }), 11, 0)
    expect(registry.api.all().map(({ id }) => id).filter((id) => instances.some((instance) => instance.id === id))).toEqual([])
  })
})

describe('an entry of a peer of another build', () => {
  // Numbers and texts for which consumers divide, set timers or encode headers.
  test.each<[string, Partial<BackendInstance>]>([
    ...[Infinity, -1, 0, 0.5, 2 ** 53].map((slots): [string, Partial<BackendInstance>] => [`${slots} slots`, { slots }]),
    ...[Infinity, -1, 0.5, 2 ** 53].map((incarnation): [string, Partial<BackendInstance>] => [`the start ${incarnation}`, { incarnation }]),
    ...[Infinity, -1, 1e300].map((warmUpMs): [string, Partial<BackendInstance>] => [`${warmUpMs} ms to warm up`, { warmUpMs }]),
    ['an id that is no header', { id: 'a\r\nb' }], ['a long id', { id: 'x'.repeat(257) }], ['half a character in its version', { softwareVersion: '\ud800' }],
    ['a long version', { softwareVersion: 'x'.repeat(257) }], ['a version that is no text', { softwareVersion: 7 as never }], ['a long zone', { availabilityZone: 'x'.repeat(257) }],
    ['no service', { service: '' }], ['a long service', { service: 'x'.repeat(257) }]
  ])('names no server with %s, and the others are followed', async (_what, changes) => {
    const { registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-3', changes), createServer('engine-4')] }), 10, 0)
    expect(registry.api.all().map(({ id }) => id)).toEqual(['engine-1', 'engine-2', 'engine-4'])
  })
})

describe('a server that was removed', () => {
  // Half of the servers that leave only remove their entry and still serve for a while.
  test('can be copied from for its drain time', async () => {
    const { clock, registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ removed: ['engine-2'] }), 10, 0)
    expect(registry.api.recentlyRemoved().map(({ id }) => id)).toEqual(['engine-2'])
    await clock.advanceAndSettle(2_100)
    expect(registry.api.recentlyRemoved()).toEqual([])
  })

  test('can\'t be copied from when another server has its address', async () => {
    const { registry } = await startRegistry()
    registry.api.markGone(createServer('engine-2'), 'another backend server has its address')
    expect(registry.api.recentlyRemoved()).toEqual([])
  })
})

describe('a server that stated in an answer that it is leaving', () => {
  test('is not listed, but still known', async () => {
    const { registry } = await startRegistry()
    registry.api.markLeaving(createServer('engine-2'))
    expect(listIds(registry)).toEqual(['engine-1'])
    expect(registry.api.find('engine-2')?.isLeaving).toBe(true)
  })

  test('is reported to peers as leaving', async () => {
    const { registry } = await startRegistry()
    const position = registry.position()
    registry.api.markLeaving(createServer('engine-2'))
    expect(registry.createPeerUpdate(position, 0).instances).toEqual([createServer('engine-2', { isLeaving: true })])
  })

  test('tells listeners once', async () => {
    const { registry } = await startRegistry()
    let changes = 0
    registry.api.onChange(() => { changes += 1 })
    for (let index = 0; index < 3; index++) registry.api.markLeaving(createServer('engine-2'))
    expect(changes).toBe(1)
  })

  // Its entry still says ready, or expired in an outage of the source and was written again.
  test.each<[string, readonly string[]]>([['is written again', []], ['disappears and comes back', ['engine-2']]])('stays leaving when its entry %s', async (_what, removed) => {
    const { registry } = await startRegistry()
    registry.api.markLeaving(createServer('engine-2'))
    registry.applyPeerUpdate(createUpdate({ removed }), 10, 0)
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2', { slots: 9 })] }), 11, 0)
    expect(listIds(registry)).toEqual(['engine-1'])
  })

  // The answer may come after the list has lost the entry.
  test('stays leaving when it was not in the list at the time', async () => {
    const { registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ removed: ['engine-2'] }), 10, 0)
    registry.api.markLeaving(createServer('engine-2'))
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2')] }), 11, 0)
    expect(listIds(registry)).toEqual(['engine-1'])
  })

  test('is listed as a newer incarnation, also when the answer comes after it', async () => {
    const { registry } = await startRegistry()
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2', { incarnation: 2 })] }), 10, 0)
    registry.api.markLeaving(createServer('engine-2'))
    expect(listIds(registry)).toEqual(['engine-1', 'engine-2'])
  })
})

// A source that repeats an old copy of the entry would make a server that has drained eligible again.
test('a server that the list showed as leaving stays so when its entry disappears and comes back as ready', async () => {
  const { registry } = await startRegistry()
  registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2', { isLeaving: true })] }), 10, 0)
  registry.applyPeerUpdate(createUpdate({ removed: ['engine-2'] }), 11, 0)
  registry.applyPeerUpdate(createUpdate({ instances: [createServer('engine-2')] }), 12, 0)
  expect(listIds(registry)).toEqual(['engine-1'])
})

describe('a server of a software version that is not registered', () => {
  /** Registers at once while `isAllowed`, and counts what it was asked for. */
  const createEntering = () => {
    const entering = { isAllowed: true, asked: [] as string[] }
    const enterVersions: InstanceRegistryOptions['enterVersions'] = async (versions) => {
      entering.asked.push(...versions.map(({ softwareVersion }) => softwareVersion))
      return entering.isAllowed
    }
    return { entering, enterVersions }
  }

  const startWithChange = async (next: readonly BackendInstance[]) => {
    const { entering, enterVersions } = createEntering()
    const started = await startRegistry({ enterVersions })
    entering.isAllowed = false
    started.remote.change(next)
    await started.clock.advanceAndSettle(300)
    return { ...started, entering }
  }

  /** Servers at which streams that may be resumed must not begin. */
  const listUnregistered = ({ api }: RunningInstanceRegistry): readonly string[] => api.all().filter(({ isUnregistered }) => isUnregistered === true).map(({ id }) => id)

  // A stream that begins at a version which the register lacks could be taken up at another one; what needs no register must not wait.
  test('is listed at once, begins streams only once its version is registered, and holds no other up', async () => {
    const { registry, clock, entering } = await startWithChange([createServer('engine-3'), createServer('new-1', { softwareVersion: 'v2' })])
    expect([listIds(registry), listUnregistered(registry)]).toEqual([['engine-1', 'engine-2', 'engine-3', 'new-1'], ['new-1']])
    entering.isAllowed = true
    await clock.advanceAndSettle(2_000)
    expect([listIds(registry), listUnregistered(registry)]).toEqual([['engine-1', 'engine-2', 'engine-3', 'new-1'], []])
  })

  // Its address answers with the events of the new version already.
  test('that starts again under its id begins no streams until its new version is registered', async () => {
    const { registry, clock, entering } = await startWithChange([createServer('engine-2', { softwareVersion: 'v2', incarnation: 2 })])
    expect([listIds(registry), listUnregistered(registry)]).toEqual([['engine-1', 'engine-2'], ['engine-2']])
    entering.isAllowed = true
    await clock.advanceAndSettle(2_000)
    expect(listUnregistered(registry)).toEqual([])
  })

  // Nodes that rely on readers would begin streams there, or lack the server.
  test('is told to peers with that mark, and again once its version is registered', async () => {
    const { registry, clock, entering } = await startWithChange([createServer('new-1', { softwareVersion: 'v2' })])
    const { registry: peer } = await startRegistry({ enterVersions: async () => true })
    const tell = (): void => peer.applyPeerUpdate(registry.createPeerUpdate(undefined, 0), registry.api.revision(), 0)
    const position = registry.position()
    tell()
    expect([listIds(peer), listUnregistered(peer)]).toEqual([['engine-1', 'engine-2', 'new-1'], ['new-1']])
    entering.isAllowed = true
    await clock.advanceAndSettle(2_000)
    peer.applyPeerUpdate(registry.createPeerUpdate(position, registry.api.revision()), registry.api.revision(), 0)
    expect(listUnregistered(peer)).toEqual([])
  })

  // The mark stayed: clearing it changes no revision, so a peer that is asked for the first time has nothing to tell.
  test('is registered by a node that relies on a reader which is gone, once the reader had time to tell', async () => {
    const { registry: reader } = await startWithChange([createServer('new-1', { softwareVersion: 'v2' })])
    const { entering, enterVersions } = createEntering()
    const { registry, clock } = await startRegistry({ enterVersions })
    registry.applyPeerUpdate(reader.createPeerUpdate(undefined, 0), reader.api.revision(), 0)
    await clock.advanceAndSettle(1_900)
    expect([listUnregistered(registry), entering.asked]).toEqual([['new-1'], ['']])
    await clock.advanceAndSettle(200)
    expect([listUnregistered(registry), entering.asked]).toEqual([[], ['', 'v2']])
  })

  // A store that refuses for hours would get five reads and writes a second from each reader.
  test('is asked for ever more rarely while that fails', async () => {
    const { clock, entering } = await startWithChange([createServer('new-1', { softwareVersion: 'v2' })])
    await clock.advanceAndSettle(16_000)
    expect(entering.asked.filter((version) => version === 'v2').length).toBeLessThan(16)
  })

  test('is not listed after all when its entry is removed meanwhile', async () => {
    const { registry, clock, remote, entering } = await startWithChange([createServer('new-1', { softwareVersion: 'v2' })])
    remote.remove('new-1')
    await clock.advanceAndSettle(200)
    entering.isAllowed = true
    await clock.advanceAndSettle(300)
    expect(listIds(registry)).toEqual(['engine-1', 'engine-2'])
  })

  test('is asked for once while servers of its version are listed', async () => {
    const { entering, enterVersions } = createEntering()
    const { registry, remote, clock } = await startRegistry({ enterVersions })
    remote.change([createServer('engine-3'), createServer('engine-4')])
    await clock.advanceAndSettle(300)
    expect([listIds(registry).length, entering.asked]).toEqual([4, ['']])
  })

  // A peer of another build registers nothing.
  test('is registered by the node that reads it though a peer has told it before', async () => {
    const { entering, enterVersions } = createEntering()
    const { registry, remote, clock } = await startRegistry({ enterVersions })
    registry.applyPeerUpdate(createUpdate({ instances: [createServer('new-1', { softwareVersion: 'v2' })] }), 10, 0)
    remote.change([createServer('new-2', { softwareVersion: 'v2' })])
    await clock.advanceAndSettle(300)
    expect([listIds(registry).length, entering.asked]).toEqual([4, ['', 'v2']])
  })

  // "The system didn't start": orders, safe requests and whole answers need no register.
  test('keeps no node that has just started from its list', async () => {
    const { registry } = await startRegistry({ enterVersions: () => new Promise(() => {}) })
    expect([registry.api.isKnown(), listIds(registry), listUnregistered(registry)]).toEqual([true, ['engine-1', 'engine-2'], ['engine-1', 'engine-2']])
  })
})

// One exception in a listener ended the watch: servers that left later stayed in the list for the life of the process.
test('follows the source on after a listener threw', async () => {
  const { clock, remote, registry } = await startRegistry()
  let isFaulty = true
  registry.api.onChange(() => {
    if (!isFaulty) return
    isFaulty = false
    throw new Error('unexpected')
  })
  remote.put([createServer('engine-1'), createServer('engine-2'), createServer('engine-3')])
  remote.change([createServer('engine-3')])
  await clock.advanceAndSettle(500)
  remote.remove('engine-1')
  await clock.advanceAndSettle(1_000)
  expect([isFaulty, listIds(registry)]).toEqual([false, ['engine-2', 'engine-3']])
})

// A registration that threw was never tried again: no stream that may be resumed began at the server.
test('registers a version again after its registration threw', async () => {
  let calls = 0
  const { clock, registry } = await startRegistry({
    enterVersions: async () => {
      calls += 1
      if (calls === 1) throw new Error('unexpected')
      return true
    }
  })
  await clock.advanceAndSettle(1_000)
  expect([calls, registry.api.all().map(({ isUnregistered }) => isUnregistered === true)]).toEqual([2, [false, false]])
})
