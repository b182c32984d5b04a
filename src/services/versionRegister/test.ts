import { describe, expect, test } from 'vitest'
import { createVersionRegister } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { Logger } from '../../types/index.js'
import { createMemoryVersionStore, type MemoryVersionStore } from '../../../test/_lib/createMemoryVersionStore.js'

const V1 = { service: 'engines', softwareVersion: 'v1' }
const V2 = { service: 'engines', softwareVersion: 'v2' }

const SILENT_LOGGER: Pick<Logger, 'info' | 'warn'> = { info: () => {}, warn: () => {} }

const createRegister = (store: MemoryVersionStore) => createVersionRegister({ clock: createManualClock(), logger: SILENT_LOGGER, store }).api

const listVersions = (store: MemoryVersionStore) => store.entries().map(({ version }) => version)

describe('createVersionRegister', () => {
  test('enters each version once, and writes nothing that is there', async () => {
    const store = createMemoryVersionStore()
    expect(await createRegister(store).enter([V1, V2])).toBe(true)
    expect(await createRegister(store).enter([V2, V1])).toBe(true)
    expect(listVersions(store)).toEqual([{ ...V1, isEnding: false }, { ...V2, isEnding: false }])
    expect(store.countCalls().writes).toBe(2)
  })

  test('enters a version that another node enters at the same moment', async () => {
    const store = createMemoryVersionStore()
    expect(await Promise.all([createRegister(store), createRegister(store)].map(({ enter }) => enter([V1])))).toEqual([true, true])
    expect(listVersions(store)).toEqual([{ ...V1, isEnding: false }])
  })

  // A server of a version that the register lacks must not begin a stream.
  test.each(['away', 'refusesWrites'] as const)('does not enter a version while the store %s', async (fault) => {
    const store = createMemoryVersionStore()
    store.setFault(fault)
    expect(await createRegister(store).enter([V1])).toBe(false)
  })

  test('reads back what was written when the reply is lost', async () => {
    const store = createMemoryVersionStore()
    store.setFault('losesReplies')
    expect(await createRegister(store).enter([V1])).toBe(true)
  })

  // A version that is used again while its entry is being removed would be missing while streams begin at it.
  test('an entry that is entered again while it is ending is not removed', async () => {
    const store = createMemoryVersionStore()
    const [one, other] = [createRegister(store), createRegister(store)]
    await one.enter([V1])
    const known = await one.read()
    if (!known.ok) throw new Error('the store is there')
    const revision = await one.setEnding(known.value[0]!, true)
    expect(await other.enter([V1])).toBe(true)
    await one.remove({ ...known.value[0]!, isEnding: true, revision: revision! })
    expect(listVersions(store)).toEqual([{ ...V1, isEnding: false }])
  })

  test('an entry that stays as it was is removed', async () => {
    const store = createMemoryVersionStore()
    const register = createRegister(store)
    await register.enter([V1])
    const known = await register.read()
    if (!known.ok) throw new Error('the store is there')
    await register.remove(known.value[0]!)
    expect(store.entries()).toEqual([])
  })

  // An object of another writer in the place of an entry would keep the servers of that version out for good.
  test('replaces an object of another writer, and counts none of its content', async () => {
    const store = createMemoryVersionStore()
    const register = createRegister(store)
    await register.enter([V1])
    const { name } = store.entries()[0]!
    store.put({ name })
    store.put({ name: 'elsewhere', version: { ...V2, isEnding: false } })
    expect(await register.read()).toEqual({ ok: true, value: [] })
    expect(await register.enter([V1])).toBe(true)
    expect(await register.read()).toMatchObject({ value: [{ ...V1, isEnding: false }] })
  })

  // The whole fleet starts at once: what one node has written serves all, at one more read each.
  test('enters a version for 360 nodes that write it at the same moment', async () => {
    const store = createMemoryVersionStore()
    const entered = await Promise.all(Array.from({ length: 360 }, () => createRegister(store).enter([V1])))
    expect([entered.every(Boolean), store.countCalls().reads <= 720, listVersions(store)]).toEqual([true, true, [{ ...V1, isEnding: false }]])
  })

  // What throws in one call would end the process, or leave the version unregistered for good.
  test.each(['create', 'list', 'remove'] as const)('a call that throws (%s) counts as failed', async (call) => {
    const store = createMemoryVersionStore()
    await createRegister(store).enter([V2])
    const fail = async (): Promise<never> => { throw new Error('odd reply') }
    const { enter, remove } = createRegister({ ...store, [call]: fail })
    expect(await enter([V1])).toBe(call === 'remove')
    await remove({ ...V2, isEnding: false, name: store.entries()[0]!.name, revision: 0 })
  })

  test('without a store holds nothing back and proves nothing', async () => {
    const { api } = createVersionRegister({ clock: createManualClock(), logger: SILENT_LOGGER })
    expect(await api.enter([V1])).toBe(true)
    expect((await api.read()).ok).toBe(false)
  })
})
