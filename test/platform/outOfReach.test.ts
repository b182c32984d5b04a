/** Tests of nodes that lose their links to all backend servers while peers, callers and the store reach them. */
import { afterEach, describe, expect, test } from 'vitest'
import { LINK_CUTS } from '../_lib/createServerLink.js'
import { callGateway, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { pause } from './_lib/callFleet.js'
import { startGatewayFleet, type GatewayFleet } from './_lib/startGatewayFleet.js'

const CONTACT_MS = 3_000
const CALLS_PER_PATH = 6
const PATHS = ['/lookup/1', '/order/1', '/chat/1', '/once/1']
const SERVED_SHARE = 2 / 3

const fleets: GatewayFleet[] = []

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

const start = async (nodes: number): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet({
    nodes,
    hasLinks: true,
    plain: ['plain-1', 'plain-2', 'plain-3'].map((id) => ({ id })),
    engines: ['engine-1', 'engine-2', 'engine-3'].map((id) => ({ id })),
    entries: Object.fromEntries(['plain', 'engine'].flatMap((kind) => ['a', 'b', 'c'].map((zone, index) => [`${kind}-${index + 1}`, { zone: `zone-${zone}` }])))
  })
  fleets.push(fleet)
  return fleet
}

const isStream = (path: string): boolean => path.startsWith('/chat') || path.startsWith('/once')

/** Calls every route at a node, some at a time, and returns the share of calls that were served at the first try. */
const callAll = async (fleet: GatewayFleet, node: number): Promise<number> => {
  const served: boolean[] = []
  for (let round = 0; round < CALLS_PER_PATH; round++) {
    served.push(...await Promise.all(PATHS.map(async (path) => {
      const { status, isComplete } = await callGateway(fleet.callerAddress(node), { path, body: 'x', headers: isStream(path) ? promptHeaders(`s${round}`) : {} })
      return status === 200 && isComplete
    })))
  }
  return served.filter((isServed) => isServed).length / served.length
}

describe('callers of a node without a path to any backend server', () => {
  // Guards against refusing what a peer could have served: 8 of 156 first tries were served where the other nodes served 169 of 172.
  test.each(LINK_CUTS)('are served like those of the others when its links are cut by %s', async (how) => {
    const fleet = await start(3)
    expect(await callAll(fleet, 0)).toBe(1)
    await fleet.cutFromServers(0, how)
    await callAll(fleet, 0)
    await pause(CONTACT_MS)
    expect(await callAll(fleet, 0)).toBeGreaterThan(SERVED_SHARE * await callAll(fleet, 1))
  })
})
