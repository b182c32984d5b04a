/** Tests callers that read slowly, over real sockets. `SLOW_CALLERS=500 READING_CALLERS=50 SLOW_MEMORY_MB=250` plays the full size by hand. */
import { afterEach, describe, expect, test } from 'vitest'
import { computeHeldLimits } from '../../src/decisions/boundHeldBytes/index.js'
import { pause } from './_lib/callFleet.js'
import { startSlowReaders, type SlowReaderRig } from './_lib/startSlowReaders.js'
import type { GatewaySettings } from '../../src/types/index.js'

const SLOW_CALLERS = Number(process.env['SLOW_CALLERS'] ?? 40)
const READING_CALLERS = Number(process.env['READING_CALLERS'] ?? 10)
const MEMORY_MB = Number(process.env['SLOW_MEMORY_MB'] ?? 100)
/** More than the buffers of the kernel take on loopback. */
const LARGE_BYTES = 8_000_000
const LARGE_STREAM_EVENTS = 600
const BYTES_A_READ = 1_024
const READ_INTERVAL_MS = 1_000
const STOPPED_MS = 4_000
const POLL_MS = 20

const rigs: SlowReaderRig[] = []

const start = async (settings: Partial<GatewaySettings>, limits: Readonly<Record<string, number>> = {}): Promise<SlowReaderRig> => {
  const rig = await startSlowReaders(settings, limits)
  rigs.push(rig)
  return rig
}

afterEach(async () => { for (const rig of rigs.splice(0)) await rig.close() })

const waitUntil = async (isTrue: () => boolean | Promise<boolean>): Promise<void> => { while (!await isTrue()) await pause(POLL_MS) }

const countHeld = async (rig: SlowReaderRig): Promise<number> => {
  const { requestBody = 0, bufferedAnswer = 0, unreadAnswer = 0, pausedAnswer = 0 } = await rig.readMetric('gateway_held_bytes')
  return requestBody + bufferedAnswer + unreadAnswer + pausedAnswer
}

describe('callers that read slowly', () => {
  // Load pattern: answers pile up in the node for callers that read 1 KB/s; those that read at once must not notice.
  test('neither take the memory of the node nor delay or end those that read at once', async () => {
    const rig = await start({ controlsAdmission: true, memoryMb: MEMORY_MB })
    const bound = computeHeldLimits(MEMORY_MB).totalBytes
    const slow = Array.from({ length: SLOW_CALLERS }, (_, index) => rig.callSlowly(index % 2 === 0 ? `/lookup/${LARGE_BYTES}` : `/chat/${LARGE_STREAM_EVENTS}`))
    const reading = setInterval(() => { for (const caller of slow) caller.read(BYTES_A_READ) }, READ_INTERVAL_MS)
    await waitUntil(async () => Object.values(await rig.readMetric('gateway_answers_paused'))[0]! >= SLOW_CALLERS)
    const atOnce = await Promise.all(Array.from({ length: READING_CALLERS }, (_, index) => rig.callAtOnce(index % 2 === 0 ? '/lookup/400000' : '/chat/20')))
    const held = await countHeld(rig)
    clearInterval(reading)
    expect(atOnce.map(({ status, isComplete }) => [status, isComplete])).toEqual(atOnce.map(() => [200, true]))
    expect(slow.filter(({ isClosed }) => isClosed())).toEqual([])
    expect(held).toBeGreaterThan(0)
    expect(held).toBeLessThan(bound)
  }, 60_000)

  // Guards against a node that takes its own pause for silence of the backend server, and sends the stream elsewhere.
  test('get the whole stream from one backend server when they stop for seconds and go on', async () => {
    const rig = await start({ controlsAdmission: true, memoryMb: 20 })
    const caller = rig.callSlowly(`/chat/${LARGE_STREAM_EVENTS}`)
    const before = rig.countServed()
    await waitUntil(async () => Object.values(await rig.readMetric('gateway_answers_paused'))[0]! > 0)
    await pause(STOPPED_MS)
    caller.readAll()
    await waitUntil(() => caller.isClosed() || caller.readText().endsWith('0\r\n\r\n'))
    const ids = [...caller.readText().matchAll(/id: (\d+)\n/g)].map(([, id]) => Number(id))
    expect(ids).toEqual(Array.from({ length: LARGE_STREAM_EVENTS }, (_, index) => index + 1))
    expect(rig.countServed() - before).toBeLessThanOrEqual(1)
    expect(rig.fleet.logs.filter(({ message }) => message === 'backend server silent')).toEqual([])
  }, 60_000)

  // A connection whose caller reads nothing would keep its answer and its descriptor for ever.
  test('are ended once they have read nothing for the idle time, with the bytes in the log', async () => {
    const rig = await start({ controlsAdmission: true, memoryMb: MEMORY_MB }, { idle_timeout_ms: 1_000 })
    const caller = rig.callSlowly(`/lookup/${LARGE_BYTES}`)
    await waitUntil(() => rig.fleet.logs.some(({ message }) => message === 'answer ended unread'))
    caller.readAll()
    await waitUntil(caller.isClosed)
    expect(caller.countBytes()).toBeLessThan(LARGE_BYTES)
    expect(rig.fleet.logs.find(({ message }) => message === 'answer ended unread')).toMatchObject({ reason: 'unread', unreadBytes: expect.any(Number) })
    await waitUntil(async () => await countHeld(rig) === 0)
  }, 60_000)

  // The memory of the VM ends the process also where callers don't compete for room; where it is unknown, nothing can be bounded.
  test.each<[string, string, Partial<GatewaySettings>, boolean]>([['', 'admission is not controlled', { memoryMb: MEMORY_MB }, true], ['not ', 'the memory is unknown', { controlsAdmission: true }, false]])('are %sbounded where %s', async (_not, _where, settings, isBounded) => {
    const rig = await start(settings)
    const caller = rig.callSlowly(`/chat/${LARGE_STREAM_EVENTS}`)
    await waitUntil(() => rig.fleet.logs.some(({ message }) => message === 'request sent'))
    if (isBounded) await waitUntil(async () => (await rig.readMetric('gateway_answers_paused'))[''] === 1)
    else await pause(READ_INTERVAL_MS)
    expect([await countHeld(rig) > 0, await rig.readMetric('gateway_answers_paused')]).toEqual([isBounded, { '': Number(isBounded) }])
    caller.readAll()
    await waitUntil(() => caller.countBytes() > 0)
  }, 60_000)
})
