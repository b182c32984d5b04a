import { describe, expect, test } from 'vitest'
import { boundHeldBytes, computeAllowance, computeHeldLimits, hasRoomFor, READ_BYTES, type HeldConnection } from './index.js'

const LIMITS = { totalBytes: 10_000_000, callerBytes: 1_000_000 }

const createConnection = (id: number, changes: Partial<HeldConnection> = {}): HeldConnection =>
  ({ id, unreadBytes: 200_000, heldBytes: 200_000, unreadMs: 0, maximumUnreadMs: 15_000, pausedMs: undefined, ...changes })

describe('boundHeldBytes', () => {
  test('gives each answer what is still free, up to the bound of one connection', () => {
    expect([0, 6_000_000, 6_500_000, 20_000_000].map((total) => computeAllowance(LIMITS, total))).toEqual([1_000_000, 1_000_000, 500_000, 16_384])
  })

  test('has no room for a body that would come near the bound', () => {
    expect([hasRoomFor(LIMITS, 8_000_000, 500_000), hasRoomFor(LIMITS, 8_000_000, 1_000_000)]).toEqual([true, false])
  })

  test('leaves most of the memory to the program', () => {
    expect(computeHeldLimits(250)).toEqual({ totalBytes: 52_428_800, callerBytes: 204_800 })
  })

  test('ends none while the bound is not near', () => {
    expect(boundHeldBytes(LIMITS, 7_900_000, [createConnection(1, { unreadMs: 14_000 })]).end).toEqual([])
  })

  test('ends the connection that holds most and has read nothing for longest, and no more than needed', () => {
    const connections = [createConnection(1, { unreadMs: 6_000 }), createConnection(2, { unreadMs: 6_000, heldBytes: 900_000 }), createConnection(3, { unreadMs: 8_000 })]
    expect(boundHeldBytes(LIMITS, 8_500_000, connections).end).toEqual([{ id: 2, reason: 'memory' }])
    expect(boundHeldBytes(LIMITS, 8_950_000, connections).end).toEqual([{ id: 2, reason: 'memory' }, { id: 3, reason: 'memory' }])
  })

  // Guards against callers that read at once being ended for the slow ones beside them.
  test('never ends a connection that reads, even over the bound', () => {
    const reading = createConnection(1, { unreadMs: 100, heldBytes: 5_000_000 })
    expect(boundHeldBytes(LIMITS, 12_000_000, [reading, createConnection(2, { unreadMs: 600 })]).end).toEqual([{ id: 2, reason: 'memory' }])
  })

  test('ends a connection that reads nothing for the idle time, with room for more', () => {
    expect(boundHeldBytes(LIMITS, 0, [createConnection(1, { unreadMs: 15_000 }), createConnection(2, { unreadMs: 15_000, unreadBytes: 0 })]).end).toEqual([{ id: 1, reason: 'unread' }])
  })

  test('resumes an answer whose caller has read', () => {
    expect(boundHeldBytes(LIMITS, 5_000_000, [createConnection(1, { pausedMs: 10 }), createConnection(2, { pausedMs: 10, unreadBytes: 900_000 })]).resume).toEqual([1])
  })

  // Guards against answers that a backend server cuts off because the node leaves them unread.
  test('reads paused answers on after a second, the longest paused first, while there is room', () => {
    const paused = [1, 2, 3].map((id) => createConnection(id, { pausedMs: 1_000 + id, unreadBytes: 900_000 }))
    expect(boundHeldBytes(LIMITS, 7_499_000 - 2 * READ_BYTES, paused).resume).toEqual([3, 2])
  })

  // Guards against paused answers that take the room of new requests, which would be refused.
  test('does not read on where new requests would be refused for it', () => {
    expect(boundHeldBytes(LIMITS, 7_600_000, [createConnection(1, { pausedMs: 5_000, unreadBytes: 900_000 })]).resume).toEqual([])
  })

  test('does not read on for a connection that holds all it may', () => {
    expect(boundHeldBytes(LIMITS, 1_000_000, [createConnection(1, { pausedMs: 2_000, unreadBytes: 1_000_000 })]).resume).toEqual([])
  })
})
