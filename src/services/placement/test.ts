import { describe, expect, it } from 'vitest'
import { createPlacement, type PlacementDependencies } from './index.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import type { BackendServer, Configuration } from '../../types/index.js'

const SERVERS = 12
const WORK_MS = 43
const REQUESTS_PER_SECOND = 480
const DURATION_MS = 10_000
/** Average of the counts remembers about so many milliseconds. */
const AVERAGE_MEMORY_MS = 1_000
const ALLOWED_SHARE = 0.03

const backendServers = Array.from({ length: SERVERS }, (_, index) => ({ name: `plain-${index}`, service: 'plain', slots: 6 }) as BackendServer)
const configuration = { sheet: { backendServers, services: [{ name: 'plain', kind: 'plain', loadTarget: 1.26, loadLimit: 1.5 }] } } as unknown as Configuration

/** Many routers, none of which has sent more than a few of the requests, with counts that are taken each `countIntervalMs`. */
const simulate = (seed: number, countIntervalMs: number) => {
  const random = createSeededRandom(seed).next
  const loads = new Map(backendServers.map(({ name }) => [name, 0]))
  const averages = new Map(loads)
  let counted = new Map(loads)
  let countedAt = 0
  let now = 0
  const loadView: PlacementDependencies['loadView'] = {
    estimateInFlight: (name) => counted.get(name)!,
    ownInFlight: () => 0,
    readSource: (name) => ({ ageMs: now - countedAt, averageInFlight: averages.get(name)! })
  }
  const { api } = createPlacement({
    configuration: { current: () => configuration },
    backendHealth: { status: (name) => ({ backendServer: name, state: 'live', weightShare: 1, inFlight: 0, ownInFlight: 0 }) },
    loadView
  })
  const count = (): void => {
    countedAt = now
    counted = new Map(loads)
    const weight = 1 - Math.exp(-countIntervalMs / AVERAGE_MEMORY_MS)
    for (const [name, load] of loads) averages.set(name, averages.get(name)! + weight * (load - averages.get(name)!))
  }
  const change = (name: string, difference: number): void => { loads.set(name, loads.get(name)! + difference) }
  const open: { readonly endsAt: number, readonly name: string }[] = []
  const endUntil = (at: number): void => {
    for (const ended of open.filter(({ endsAt }) => endsAt <= at)) {
      open.splice(open.indexOf(ended), 1)
      change(ended.name, -1)
      api.recordHoldTime('plain', WORK_MS)
    }
  }
  let requests = 0
  let overLimit = 0
  while (now < DURATION_MS) {
    now -= 1_000 / REQUESTS_PER_SECOND * Math.log(1 - random())
    endUntil(now)
    if (now - countedAt >= countIntervalMs) count()
    const placement = api.choose({ service: 'plain', chatKey: String(random()), isNewChat: true, excluded: new Set() })
    if (placement.kind === 'none') continue
    const { name } = placement.backendServer
    const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / SERVERS
    requests += 1
    if (loads.get(name)! + 1 > 2 * mean + 3) overLimit += 1
    change(name, 1)
    open.push({ endsAt: now + WORK_MS, name })
  }
  return { requests, overLimit }
}

describe('createPlacement', () => {
  // All routers would send to the servers that were idle at the last count, until the next one.
  it.each([20, 250, 1_000])('spreads requests that are shorter than the time between two counts (%i ms)', (countIntervalMs) => {
    for (const seed of [1, 2, 3]) {
      const { requests, overLimit } = simulate(seed, countIntervalMs)
      expect(requests).toBeGreaterThan(4_500)
      expect(overLimit / requests).toBeLessThanOrEqual(ALLOWED_SHARE)
    }
  })
})
