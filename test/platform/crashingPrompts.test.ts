/** Tests that a prompt part under which backend servers end reaches few of them, over separate processes. */
import { afterEach, describe, expect, test } from 'vitest'
import { pause } from './_lib/callFleet.js'
import { callInTurn, computeServedShare, startEndingServers, type EndingServers, type EndingServersOptions } from './_lib/startEndingServers.js'

/** Five servers may end before the part has to be known, and three requests may still be sent then. */
const MAXIMUM_HARMFUL = 5 + 3
const NODES = 6
const SERVERS = 12
const SOUND_PER_SECOND = 40
const HARMFUL_PER_SECOND = 4
/** Sound requests are served at least this much of the share before. */
const MINIMUM_SHARE = 0.5
const DURATION_MS = 6_000

const open: EndingServers[] = []

const start = async (options: Partial<EndingServersOptions> = {}): Promise<EndingServers> => {
  const fleet = await startEndingServers({ nodes: NODES, servers: SERVERS, ...options })
  open.push(fleet)
  return fleet
}

const MIXED = { durationMs: DURATION_MS, soundPerSecond: SOUND_PER_SECOND, harmfulPerSecond: HARMFUL_PER_SECOND }

afterEach(async () => { for (const fleet of open.splice(0)) await fleet.close() })

describe('a prompt part under which each server ends', () => {
  // No node has seen more than one or two of the servers end, and other servers end for another reason.
  test('reaches few servers when each node sees few of them end, and sound requests with its other parts are served', async () => {
    const fleet = await start()
    const before = computeServedShare(await callInTurn(fleet, { ...MIXED, durationMs: 1_500, harmfulPerSecond: 0 }))
    const traffic = callInTurn(fleet, MIXED)
    for (let round = 0; round < 3; round++) {
      await pause(DURATION_MS / 4)
      fleet.endOldest()
    }
    await traffic
    const answers = await callInTurn(fleet, { ...MIXED, durationMs: 2_000 })
    const after = computeServedShare(answers)
    const refused = answers.filter(({ body }) => body.includes('promptQuarantined'))
    expect(fleet.countHarmful()).toBeLessThanOrEqual(MAXIMUM_HARMFUL)
    expect(after).toBeGreaterThanOrEqual(MINIMUM_SHARE * before)
    expect(refused.length).toBeGreaterThan(0)
    expect(refused.every(({ status, headers, isHarmful }) => status === 503 && Number(headers['retry-after']) > 0 && isHarmful)).toBe(true)
  }, 60_000)

  // What a process knows is gone with it.
  test('reaches few servers when the nodes are killed one after the other, and then all at once', async () => {
    const fleet = await start()
    const traffic = callInTurn(fleet, MIXED)
    for (let index = 0; index < NODES / 2; index++) await fleet.restart(index)
    await traffic
    await Promise.all(fleet.nodes.map((_, index) => fleet.restart(index)))
    await callInTurn(fleet, { ...MIXED, durationMs: 3_000 })
    expect(fleet.countHarmful()).toBeLessThanOrEqual(MAXIMUM_HARMFUL)
  }, 60_000)

  // Nodes that don't reach each other still reach the platform.
  test('reaches few servers when the nodes are cut off from each other', async () => {
    const fleet = await start({ nodes: 3, hasPeers: false })
    await callInTurn(fleet, MIXED)
    expect(fleet.countHarmful()).toBeLessThanOrEqual(MAXIMUM_HARMFUL)
  }, 60_000)
})

describe('servers that end for another reason', () => {
  // A part that is in most requests was at each server that ended.
  test('make no node refuse a request for its prompt', async () => {
    const fleet = await start()
    const traffic = callInTurn(fleet, { ...MIXED, harmfulPerSecond: 0 })
    for (let round = 0; round < 6; round++) {
      await pause(DURATION_MS / 8)
      fleet.endOldest()
    }
    const answers = await traffic
    expect(answers.filter(({ body }) => body.includes('promptQuarantined'))).toEqual([])
    expect(computeServedShare(answers)).toBeGreaterThanOrEqual(MINIMUM_SHARE)
  }, 60_000)
})
