import { beforeEach, describe, expect, it } from 'vitest'
import { createAuditTrail, type AuditTrail } from './index.js'
import { createFaultyPlatform, type FaultyPlatform } from '../../../test/_lib/createFaultyPlatform.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPlatform } from '../../emulator/createMemoryPlatform/index.js'
import type { AuditEntry } from '../../types/index.js'

let platform: FaultyPlatform
let trail: AuditTrail

beforeEach(() => {
  platform = createFaultyPlatform(createMemoryPlatform(createManualClock()))
  trail = createAuditTrail(platform, { maximumEntries: 3 })
})

const createEntry = (generationTo: number): AuditEntry => ({
  applyId: 'a1', operator: 'jana', action: 'sheet apply', at: 0, generationFrom: generationTo - 1, generationTo, sheetHash: 'a'.repeat(64), changes: [], changeCount: 0, outcome: 'attempted'
})

const listGenerations = async (): Promise<readonly number[]> => {
  const listing = await trail.read(100)
  return listing.ok ? listing.value.entries.map(({ generationTo }) => generationTo) : []
}

describe('audit trail', () => {
  it('is empty when nothing was written', async () => {
    expect(await trail.read(10)).toEqual({ ok: true, value: { entries: [], unreadable: 0 } })
  })

  it('sorts by generation across a change in the number of digits', async () => {
    for (const generation of [100, 9, 10]) await trail.begin(createEntry(generation))
    expect(await listGenerations()).toEqual([9, 10, 100])
  })

  it('deletes the oldest entries beyond its bound', async () => {
    for (const generation of [1, 2, 3, 4, 5]) await trail.begin(createEntry(generation))
    await trail.prune()
    expect(await listGenerations()).toEqual([3, 4, 5])
  })

  it('counts an unreadable entry and returns the others', async () => {
    await trail.begin(createEntry(1))
    await platform.createObject('audit/000000000002.x', new Uint8Array([0]))
    expect(await trail.read(10)).toMatchObject({ ok: true, value: { entries: [{ generationTo: 1 }], unreadable: 1 } })
  })

  // Guards against the retry of a write whose reply was lost: it would fail or leave a second entry.
  it('writes an entry once when the reply is lost', async () => {
    let writes = 0
    platform.setFault((call) => call === 'create' && writes++ === 0 ? 'replyLost' : 'none')
    expect(await trail.begin(createEntry(1))).toMatchObject({ ok: true })
    expect(await listGenerations()).toEqual([1])
  })
})
