import { describe, expect, test } from 'vitest'
import { createServerEnds, type ServerEnd } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { BackendInstance } from '../../types/index.js'

const createInstance = (id: string): BackendInstance =>
  ({ id, service: 'engines', address: { host: id, port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0 })

const ENGINE = createInstance('engine-1')

/** Longer than the service takes to conclude. */
const SETTLED_MS = 100

const start = ({ isReachable = () => false, isExpected = () => true }: { readonly isReachable?: () => boolean, readonly isExpected?: () => boolean } = {}) => {
  const clock = createManualClock()
  const ends: ServerEnd[] = []
  const lines: (readonly [string, unknown])[] = []
  let probes = 0
  const { api } = createServerEnds({
    clock,
    logger: { warn: (message, fields) => { lines.push([message, fields]) } },
    metrics: { count: () => {} },
    client: {
      probe: async () => {
        probes += 1
        return isReachable()
      }
    },
    isExpected
  })
  api.onEnd((end) => { ends.push(end) })
  return { clock, api, ends, lines, countProbes: () => probes }
}

describe('createServerEnds', () => {
  test('reports a server that ended once, with the prompt parts of all requests that broke', async () => {
    const { clock, api, ends, lines } = start()
    const [brokenAt] = [clock.now()]
    api.recordBreak(ENGINE, ['a', 'b'])
    await clock.advanceAndSettle(10)
    api.recordBreak(ENGINE, ['a', 'c'])
    await clock.advanceAndSettle(SETTLED_MS)
    expect(ends).toEqual([{ instance: ENGINE, parts: ['a', 'b', 'c'], requests: 2, endedAt: brokenAt }])
    expect(lines).toEqual([['backend server ended', expect.objectContaining({ backendServer: 'engine-1', requests: 2, parts: 'a b c', evidence: 'probe' })]])
  })

  // A reset of single connections is no end: the server still runs what other requests have there.
  test('reports no server to which a connection can be opened', async () => {
    const { clock, api, ends } = start({ isReachable: () => true })
    api.recordBreak(ENGINE, ['a'])
    await clock.advanceAndSettle(SETTLED_MS)
    expect(ends).toEqual([])
  })

  test('reports no server that sends bytes on another exchange, and probes none', async () => {
    const { clock, api, ends, countProbes } = start()
    api.recordBreak(ENGINE, ['a'])
    await clock.advanceAndSettle(20)
    api.recordBytes(ENGINE)
    await clock.advanceAndSettle(SETTLED_MS)
    expect([ends.length, countProbes()]).toEqual([0, 0])
  })

  // The connections of a server that ended break one after the other, and bytes may be left on the next one.
  test('reports a server whose last bytes on another exchange are read after the first break', async () => {
    const { clock, api, ends } = start()
    api.recordBreak(ENGINE, ['a'])
    api.recordBytes(ENGINE)
    api.recordBreak(ENGINE, ['b'])
    await clock.advanceAndSettle(SETTLED_MS)
    expect(ends.map(({ parts }) => parts)).toEqual([['a', 'b']])
  })

  test('reports a server that refuses the next request\'s connection at once, without a probe', () => {
    const { api, ends, countProbes } = start()
    api.recordBreak(ENGINE, ['a'])
    api.recordUnreachable(ENGINE)
    expect([ends.length, countProbes()]).toEqual([1, 0])
  })

  test('reports no server that was leaving', async () => {
    const { clock, api, ends } = start({ isExpected: () => false })
    api.recordBreak(ENGINE, ['a'])
    await clock.advanceAndSettle(SETTLED_MS)
    expect(ends).toEqual([])
  })

  test('reports parts of requests that break later at a server that has ended', async () => {
    const { clock, api, ends } = start()
    api.recordBreak(ENGINE, ['a'])
    await clock.advanceAndSettle(SETTLED_MS)
    api.recordBreak(ENGINE, ['b'])
    api.recordUnreachable(ENGINE)
    expect(ends.map(({ parts }) => parts)).toEqual([['a'], ['b']])
  })

  // A server that resets most answers would otherwise get as many probes as requests.
  test('probes a server once a second at most', async () => {
    const { clock, api, countProbes } = start({ isReachable: () => true })
    for (let index = 0; index < 20; index++) {
      api.recordBreak(ENGINE, ['a'])
      await clock.advanceAndSettle(SETTLED_MS)
    }
    expect(countProbes()).toBeLessThanOrEqual(3)
  })
})
