import { describe, expect, it } from 'vitest'
import { computeSha256 } from '../../kernel/index.js'
import { canonicalizeSheet } from '../canonicalizeSheet/index.js'
import { decodeChunk } from '../decodeChunk/index.js'
import { joinChunksToSheet } from '../joinChunksToSheet/index.js'
import { splitSheetIntoChunks } from './index.js'
import type { ConfigurationChunk, Sheet } from '../../types/index.js'

const createSheet = (accounts: number): Sheet => ({
  clientAccounts: Array.from({ length: accounts }, (_, index) => ({ name: `account-${index}`, weight: 1 + index % 3, keyHashes: [computeSha256(`key ${index}`)] })),
  services: [{ name: 'chat', kind: 'model', loadLimit: 1.5, loadTarget: 1.26 }],
  backendServers: [{ name: 'model-1', service: 'chat', url: 'http://10.0.1.4:8000', availabilityZone: 'venkov-a', slots: 8 }],
  routes: [{ name: 'chat', service: 'chat', model: 'counter-7b', repeatable: true, backendIdempotent: false, deadlineSeconds: 60, priority: 'interactive' }],
  plannedStops: [{ name: 'stop-1', backendServer: 'model-1', startsAt: 1 }, { name: 'stop-2', availabilityZone: 'venkov-a', startsAt: 1, endsAt: 2 }]
})

const join = (chunks: readonly ConfigurationChunk[]): Sheet => joinChunksToSheet(chunks.map(({ bytes }) => {
  const records = decodeChunk(bytes)
  if (!records.ok) throw new Error(records.error.message)
  return records.value
}))

describe('splitSheetIntoChunks', () => {
  it.each([0, 1, 1_000, 17_000])('round-trips a sheet of %i accounts', (accounts) => {
    const sheet = createSheet(accounts)
    expect(join(splitSheetIntoChunks(sheet, computeSha256))).toEqual(canonicalizeSheet(sheet))
  })

  it('keeps every chunk of 17,000 accounts far below a megabyte', () => {
    const chunks = splitSheetIntoChunks(createSheet(17_000), computeSha256)
    expect(Math.max(...chunks.map(({ bytes }) => bytes.length))).toBeLessThan(100_000)
  })

  it('gives the same chunks whatever the order of the records', () => {
    const sheet = createSheet(500)
    const reversed = { ...sheet, clientAccounts: [...sheet.clientAccounts].reverse() }
    expect(splitSheetIntoChunks(reversed, computeSha256)).toEqual(splitSheetIntoChunks(sheet, computeSha256))
  })

  it('changes one chunk when one row changes', () => {
    const sheet = createSheet(2_000)
    const changed = { ...sheet, clientAccounts: sheet.clientAccounts.map((account, index) => index === 7 ? { ...account, weight: 9 } : account) }
    const before = new Set(splitSheetIntoChunks(sheet, computeSha256).map(({ hash }) => hash))
    expect(splitSheetIntoChunks(changed, computeSha256).filter(({ hash }) => !before.has(hash))).toHaveLength(1)
  })

  it.each([
    ['keeps the number of chunks while it still fits', 1_000, 16, 16],
    ['replaces a number that makes chunks too large', 17_000, 16, 256],
    ['replaces a number that makes chunks too small', 10, 64, 1],
    ['replaces a number that is not a power of two', 1_000, 12, 16]
  ])('%s', (_, accounts, previous, expected) => {
    expect(splitSheetIntoChunks(createSheet(accounts), computeSha256, previous)).toHaveLength(expected)
  })
})

describe('decodeChunk', () => {
  it.each([
    ['text that is not JSON', 'x'],
    ['a later format', '{"format":2,"records":[]}'],
    ['an unknown record', '{"format":1,"records":[["tills",{"name":"a"}]]}'],
    ['a record without its fields', '{"format":1,"records":[["services",{"name":"a"}]]}']
  ])('rejects %s', (_, text) => {
    expect(decodeChunk(new TextEncoder().encode(text))).toMatchObject({ ok: false, error: { kind: 'unreadableChunk' } })
  })
})
