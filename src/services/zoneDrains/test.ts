import { describe, expect, test } from 'vitest'
import { createZoneDrains } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { failure, success } from '../../kernel/index.js'
import type { LogFields, Logger, ZoneDrainChange, ZoneDrainSnapshot, ZoneDrainSource } from '../../types/index.js'

const start = async (initial: ZoneDrainSnapshot = { revision: 10, zones: [] }, areLogsKept = true) => {
  const clock = createManualClock()
  const lines: (LogFields & { readonly message: string })[] = []
  const write = (message: string, fields: LogFields = {}): void => { if (areLogsKept) lines.push({ message, ...fields }) }
  const logger: Logger = { error: write, warn: write, info: write, debug: write }
  let snapshot = initial
  let changes: readonly ZoneDrainChange[] = []
  let isUnavailable = false
  const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })
  const source: ZoneDrainSource = {
    list: async () => {
      await wait(5)
      return isUnavailable ? failure({ kind: 'unavailable', message: 'away' }) : success(snapshot)
    },
    watch: async () => {
      await wait(100)
      if (isUnavailable) return failure({ kind: 'unavailable', message: 'away' })
      const reported = changes
      changes = []
      return success({ changes: reported, revision: snapshot.revision })
    }
  }
  const drains = createZoneDrains({ clock, source, logger }, { watchWaitMs: 100, isZone: (name) => name.startsWith('zone-') })
  await drains.start?.()
  await clock.advanceAndSettle(50)
  return {
    clock,
    drains,
    lines,
    change: (next: readonly ZoneDrainChange[], revision: number) => {
      changes = next
      snapshot = { revision, zones: next.filter(({ isEnded }) => !isEnded).map(({ zone }) => zone) }
    },
    setUnavailable: (next: boolean) => { isUnavailable = next }
  }
}

describe('createZoneDrains', () => {
  test('applies the drains of its first reading', async () => {
    const { drains } = await start({ revision: 10, zones: ['zone-a'] })
    expect([drains.api.isKnown(), drains.api.isDrained('zone-a'), drains.api.isDrained('zone-b')]).toEqual([true, true, false])
  })

  test('begins and ends drains as the source changes', async () => {
    const { clock, drains, change } = await start()
    change([{ zone: 'zone-a', isEnded: false }], 11)
    await clock.advanceAndSettle(200)
    expect(drains.api.isDrained('zone-a')).toBe(true)
    change([{ zone: 'zone-a', isEnded: true }], 12)
    await clock.advanceAndSettle(200)
    expect(drains.api.isDrained('zone-a')).toBe(false)
    expect(drains.api.endedAgoMs('zone-a')).toBeLessThanOrEqual(200)
  })

  // Otherwise a node that can't reach the store would send requests to a drained zone.
  test('keeps a drain while the source is unavailable', async () => {
    const { clock, drains, setUnavailable } = await start({ revision: 10, zones: ['zone-a'] })
    setUnavailable(true)
    await clock.advanceAndSettle(10_000)
    expect(drains.api.isDrained('zone-a')).toBe(true)
  })

  test('applies a drain from a peer while the source is unavailable', async () => {
    const { clock, drains, setUnavailable } = await start()
    setUnavailable(true)
    await clock.advanceAndSettle(500)
    drains.applyPeerUpdate({ revision: 12, zones: ['zone-b'] }, 300)
    expect(drains.api.isDrained('zone-b')).toBe(true)
  })

  // A partitioned peer still sends the drains of an older revision.
  test('ignores an older revision from a peer', async () => {
    const { drains } = await start({ revision: 10, zones: ['zone-a'] })
    drains.applyPeerUpdate({ revision: 9, zones: [] }, 0)
    expect(drains.api.isDrained('zone-a')).toBe(true)
  })

  test('logs a drain whose name is no zone', async () => {
    const { lines } = await start({ revision: 10, zones: ['elsewhere'] })
    expect(lines).toContainEqual(expect.objectContaining({ message: 'zone drain names no zone', zone: 'elsewhere' }))
  })
})
