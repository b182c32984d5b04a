import { describe, expect, it } from 'vitest'
import { selectProbers } from './index.js'
import type { Member } from '../../types/index.js'

const createRouters = (count: number): readonly Member[] => Array.from({ length: count }, (_, index) =>
  ({ nodeId: `node-${index}`, incarnation: 1, address: { host: '', port: 1 }, availabilityZone: 'venkov-a', state: 'live', generation: 0 }))

const createServers = (count: number) => Array.from({ length: count }, (_, index) => ({ name: `engine-${index}`, availabilityZone: 'venkov-a' }))

const BUDGET = { intervalMs: 1000, probesPerSecond: 4 }

describe('selectProbers', () => {
  it.each([
    { routers: 3, servers: 3, probers: 3, intervalMs: 1000 },
    { routers: 3, servers: 5, probers: 2, intervalMs: 1000 },
    { routers: 45, servers: 75, probers: 2, intervalMs: 1000 },
    { routers: 1, servers: 8, probers: 1, intervalMs: 2000 },
    { routers: 0, servers: 8, probers: 0, intervalMs: 1000 }
  ])('lets $probers of $routers routers probe each of $servers servers', ({ routers, servers, probers, intervalMs }) => {
    const selected = selectProbers(createServers(servers), createRouters(routers), BUDGET)
    expect([...selected.byServer.values()].map((each) => each.length)).toEqual(createServers(servers).map(() => probers))
    expect(selected.intervalMs).toBe(intervalMs)
  })
})
