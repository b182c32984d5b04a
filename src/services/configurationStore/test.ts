import { beforeEach, describe, expect, it } from 'vitest'
import { createImmediateClock, createOperator, type Operator } from '../../../test/_lib/createOperator.js'
import { createFaultyPlatform, type CallFault, type FaultyPlatform } from '../../../test/_lib/createFaultyPlatform.js'
import { createSheet } from '../../../test/_lib/createSheet.js'
import { createMemoryPlatform, type MemoryPlatform } from '../../emulator/createMemoryPlatform/index.js'

let memory: MemoryPlatform
let faulty: FaultyPlatform
let jana: Operator
let petr: Operator

beforeEach(() => {
  const clock = createImmediateClock()
  memory = createMemoryPlatform(clock)
  faulty = createFaultyPlatform(memory)
  jana = createOperator('jana', faulty, clock)
  petr = createOperator('petr', memory, clock)
})

const isRootWrite = (call: string, name: string): boolean => name === 'configuration/root' && (call === 'create' || call === 'update')

/** Sets the faults of successive writes of the root; the last one applies to all further writes. */
const failRootWrites = (...faults: readonly CallFault[]): void => {
  let writes = 0
  faulty.setFault((call, name) => isRootWrite(call, name) ? faults[Math.min(writes++, faults.length - 1)]! : 'none')
}

const readGeneration = async (): Promise<number> => {
  const root = await petr.store.readRoot()
  return root.ok ? root.value?.root.generation ?? 0 : NaN
}

const listOutcomes = async (): Promise<readonly string[]> => {
  const audit = await petr.auditTrail.read(100)
  return audit.ok ? audit.value.entries.map(({ applyId, outcome }) => `${applyId} ${outcome}`) : []
}

describe('applySheet', () => {
  it('puts the first sheet in force as generation 1', async () => {
    expect(await jana.apply(createSheet(), 0)).toMatchObject({ kind: 'applied', generation: 1, isAuditSettled: true })
    const current = await petr.store.readCurrent()
    expect(current.ok && current.value?.sheet).toEqual(createSheet())
  })

  it('reports that an equal sheet changes nothing, and writes nothing', async () => {
    await jana.apply(createSheet(), 0)
    const revision = memory.revision()
    expect(await petr.apply(createSheet(), 1)).toEqual({ kind: 'unchanged', generation: 1 })
    expect(memory.revision()).toBe(revision)
  })

  // Guards against an operator whose plan is based on an older generation and overwrites another's sheet.
  it('refuses a sheet planned on an older generation, and reports whose is in force', async () => {
    await jana.apply(createSheet(1), 0)
    await petr.apply(createSheet(2), 1)
    expect(await jana.apply(createSheet(3), 1)).toMatchObject({ kind: 'conflict', inForce: { generation: 2, appliedBy: 'petr' }, differences: [{ name: 'account-0' }] })
    expect(await readGeneration()).toBe(2)
  })

  // Guards against overwriting a sheet that was accepted just before the root is written.
  it('refuses a sheet when another is accepted just before the root is written', async () => {
    await jana.apply(createSheet(1), 0)
    let raced = false
    faulty.setFault(async (call, name): Promise<CallFault> => {
      if (isRootWrite(call, name) && !raced) {
        raced = true
        await petr.apply(createSheet(2), 1)
      }
      return 'none'
    })
    expect(await jana.apply(createSheet(3), 1)).toMatchObject({ kind: 'conflict', inForce: { appliedBy: 'petr' }, differences: [{ name: 'account-0' }] })
    expect(await listOutcomes()).toEqual(['jana-1 accepted', 'jana-2 refused', 'petr-1 accepted'])
  })

  // Guards against a wrong outcome, or a second apply, after the reply to the write of the root was lost.
  it.each<[string, readonly CallFault[], string, number]>([
    ['the write took effect', ['replyLost', 'none'], 'applied', 2],
    ['the write was lost and the retry took effect', ['late', 'none'], 'applied', 2],
    ['both replies were lost after the first took effect', ['replyLost', 'replyLost', 'none'], 'applied', 2],
    ['the platform then was down for good', ['late', 'refused'], 'outcomeUnknown', 1],
    ['the platform was down from the start', ['refused'], 'unavailable', 1]
  ])('reports the correct outcome after a lost reply when %s', async (_, faults, kind, generation) => {
    await jana.apply(createSheet(1), 0)
    failRootWrites(...faults)
    expect(await jana.apply(createSheet(2), 1)).toMatchObject({ kind })
    expect(await readGeneration()).toBe(generation)
  })

  // Guards against reporting an apply as refused that was accepted and then replaced.
  it('detects that it was accepted after a lost reply and a later generation', async () => {
    await jana.apply(createSheet(1), 0)
    let writes = 0
    faulty.setFault(async (call, name): Promise<CallFault> => {
      if (!isRootWrite(call, name)) return 'none'
      writes += 1
      if (writes === 2) await petr.apply(createSheet(3), 2)
      return writes === 1 ? 'replyLost' : 'none'
    })
    expect(await jana.apply(createSheet(2), 1)).toMatchObject({ kind: 'applied', generation: 2, replacedBy: { generation: 3, appliedBy: 'petr' } })
  })

  // Guards against reporting a lost write as accepted when another operator's write won the race.
  it('detects that it was refused after a lost write and a concurrent apply', async () => {
    await jana.apply(createSheet(1), 0)
    let writes = 0
    faulty.setFault(async (call, name): Promise<CallFault> => {
      if (!isRootWrite(call, name)) return 'none'
      writes += 1
      if (writes === 2) await petr.apply(createSheet(3), 1)
      return writes === 1 ? 'late' : 'none'
    })
    expect(await jana.apply(createSheet(2), 1)).toMatchObject({ kind: 'conflict', inForce: { appliedBy: 'petr' } })
  })

  // Guards against a delayed write that overwrites a later generation.
  it('is not overwritten by a delayed write', async () => {
    await jana.apply(createSheet(1), 0)
    failRootWrites('late', 'none')
    expect(await jana.apply(createSheet(2), 1)).toMatchObject({ kind: 'applied', generation: 2 })
    await petr.apply(createSheet(3), 2)
    await faulty.deliverLate()
    expect(await petr.store.readCurrent()).toMatchObject({ ok: true, value: { root: { generation: 3, appliedBy: 'petr' } } })
  })

  it('does not apply a second time under the same apply id', async () => {
    await jana.apply(createSheet(1), 0, { applyId: 'mine' })
    await petr.apply(createSheet(2), 1)
    expect(await jana.apply(createSheet(1), 0, { applyId: 'mine' })).toMatchObject({ kind: 'applied', generation: 1, replacedBy: { generation: 2 } })
    expect(await readGeneration()).toBe(2)
  })

  // Guards against a restored platform that accepts a sheet under a generation at or below the fleet's, so that no node puts it in force.
  it('uses a generation above the fleet\'s after the platform was restored', async () => {
    await jana.apply(createSheet(1), 0)
    expect(await jana.apply(createSheet(1), 1, { fleetGeneration: 7 })).toMatchObject({ kind: 'applied', generation: 8 })
  })

  it.each(['audit/', 'configuration/chunks/'])('accepts nothing when %s cannot be written', async (prefix) => {
    await jana.apply(createSheet(1), 0)
    faulty.setFault((call, name) => name.startsWith(prefix) && call !== 'list' ? 'refused' : 'none')
    expect(await jana.apply(createSheet(2), 1)).toMatchObject({ kind: 'unavailable' })
    expect(await readGeneration()).toBe(1)
  })

  it('reports a damaged platform when a chunk has other bytes', async () => {
    await jana.apply(createSheet(1), 0)
    const list = await memory.listObjects('configuration/chunks/')
    const chunk = list.ok ? list.value.objects[0]! : undefined
    await memory.updateObject(chunk!.name, new Uint8Array([1]), chunk!.version)
    expect(await jana.store.readCurrent()).toMatchObject({ ok: false, error: { kind: 'damaged' } })
  })
})

describe('sweep of chunks', () => {
  const countChunks = async (): Promise<number> => {
    const list = await memory.listObjects('configuration/chunks/')
    return list.ok ? list.value.objects.length : NaN
  }

  it('keeps the chunks of the generation in force and the one before', async () => {
    for (let weight = 1; weight <= 5; weight += 1) await jana.apply(createSheet(weight), weight - 1)
    expect(await countChunks()).toBe(2)
  })

  // Guards against a sweep that deletes a chunk which a concurrent apply uses again.
  it('leaves a chunk that another operator is about to use again', async () => {
    for (let weight = 1; weight <= 2; weight += 1) await petr.apply(createSheet(weight), weight - 1)
    const slow = createFaultyPlatform(memory)
    const slowPetr = createOperator('slowPetr', slow, createImmediateClock())
    let nested: Promise<unknown> | undefined
    faulty.setFault(async (call): Promise<CallFault> => {
      if (call === 'delete' && nested === undefined) {
        nested = slowPetr.apply(createSheet(1), 3)
        await nested
      }
      return 'none'
    })
    await jana.apply(createSheet(3), 2)
    expect(await nested).toMatchObject({ kind: 'applied', generation: 4 })
    expect(await petr.store.readCurrent()).toMatchObject({ ok: true, value: { root: { generation: 4 } } })
  })
})

describe('audit trail', () => {
  // Guards against an entry that stays `attempted` forever because the operator's machine stopped.
  it('records the outcome for an operator whose machine stopped', async () => {
    await petr.apply(createSheet(1), 0)
    let isAccepted = false
    faulty.setFault((call, name) => {
      if (isAccepted) return 'paused'
      isAccepted = isRootWrite(call, name)
      return 'none'
    })
    const applying = jana.apply(createSheet(2), 1)
    await Promise.race([applying, new Promise((resolve) => setTimeout(resolve, 20))])
    expect(await listOutcomes()).toEqual(['petr-1 accepted', 'jana-1 attempted'])
    await petr.apply(createSheet(3), 2)
    expect(await listOutcomes()).toEqual(['petr-1 accepted', 'jana-1 accepted', 'petr-2 accepted'])
  })

  it('keeps a refused change with its reason and without whole key hashes', async () => {
    await petr.apply(createSheet(1), 0)
    await jana.apply(createSheet(2), 0)
    const audit = await petr.auditTrail.read(1)
    expect(audit).toMatchObject({ ok: true, value: { entries: [{ operator: 'jana', outcome: 'refused', reason: 'planned against generation 0, but generation 1 is in force', generationFrom: 0, generationTo: 2 }] } })
    expect(JSON.stringify(audit)).not.toContain(createSheet().clientAccounts[0]!.keyHashes[0])
  })
})
