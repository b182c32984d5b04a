import { describe, expect, it } from 'vitest'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { AdmissionDemand, AdmissionRefusal, AdmissionTicket, Configuration, Result } from '../../types/index.js'
import { createAdmission, defaultAdmissionOptions } from './index.js'
import type { AdmissionOptions } from './index.js'

const FAR_AWAY_MS = 1_000_000

type Outcome = Result<AdmissionTicket, AdmissionRefusal>

const createConfiguration = (weights: Readonly<Record<string, number>>): Configuration => ({
  generation: 1,
  appliedBy: 'test',
  appliedAt: 0,
  applyId: 'apply',
  sheet: {
    clientAccounts: Object.entries(weights).map(([name, weight]) => ({ name, weight, keyHashes: [] })),
    services: [],
    backendServers: [],
    routes: [],
    plannedStops: []
  }
})

const createPool = (slots: number, options: Partial<AdmissionOptions> = {}, weights: Readonly<Record<string, number>> = {}) => {
  const clock = createManualClock()
  const pool = { slots }
  const configuration = createConfiguration(weights)
  const { api } = createAdmission({ clock, configuration: { current: () => configuration }, countSlots: () => pool.slots }, { ...defaultAdmissionOptions, ...options })
  const admitted: string[] = []
  const tickets: AdmissionTicket[] = []
  const admit = (clientAccount: string, overrides: Partial<AdmissionDemand> = {}): Promise<Outcome> => {
    const demand = { clientAccount, service: 'desk', tokens: 100, overnight: false, deadlineAt: clock.now() + FAR_AWAY_MS, signal: new AbortController().signal, ...overrides }
    return api.admit(demand).then((outcome) => {
      if (outcome.ok) {
        admitted.push(clientAccount)
        tickets.push(outcome.value)
      }
      return outcome
    })
  }
  const settle = async (): Promise<void> => { await new Promise((resolve) => { setImmediate(resolve) }) }
  const finishOldest = async (tokens = 100): Promise<void> => {
    tickets.shift()?.finish(tokens)
    await settle()
  }
  return { clock, api, pool, admitted, tickets, admit, settle, finishOldest }
}

const repeat = <Value>(count: number, run: () => Value): readonly Value[] => Array.from({ length: count }, run)

const count = (names: readonly string[], name: string): number => names.filter((other) => other === name).length

const reasonOf = (outcome: Outcome): string => outcome.ok ? 'admitted' : outcome.error.reason

describe('createAdmission', () => {
  it('admits at once while slots are free', async () => {
    const { admit } = createPool(2)
    expect(await Promise.all([admit('a'), admit('a')])).toMatchObject([{ ok: true }, { ok: true }])
  })

  it('frees the slot of a ticket once, even if it is finished twice', async () => {
    const { admit, tickets, admitted, settle } = createPool(1)
    repeat(3, () => admit('a'))
    await settle()
    const first = tickets[0]!
    first.finish(100)
    first.finish(100)
    await settle()
    expect(admitted.length).toBe(2)
  })

  it('alternates between waiting accounts although one has far more requests waiting', async () => {
    const { admit, admitted, settle, finishOldest } = createPool(1)
    repeat(20, () => admit('surging'))
    repeat(5, () => admit('calm'))
    await settle()
    for (let turn = 0; turn < 10; turn += 1) await finishOldest()
    expect(count(admitted, 'calm')).toBe(5)
  })

  it('shares tokens, not requests', async () => {
    const { admit, admitted, settle, finishOldest } = createPool(1)
    repeat(40, () => admit('large', { tokens: 300 }))
    repeat(40, () => admit('small', { tokens: 100 }))
    await settle()
    for (let turn = 0; turn < 39; turn += 1) await finishOldest(admitted.at(-1) === 'large' ? 300 : 100)
    expect(count(admitted, 'small') / count(admitted, 'large')).toBeCloseTo(3, 0)
  })

  it('shares in proportion to the weights of the accounts', async () => {
    const { admit, admitted, settle, finishOldest } = createPool(1, {}, { heavy: 3, light: 1 })
    repeat(40, () => admit('heavy'))
    repeat(40, () => admit('light'))
    await settle()
    for (let turn = 0; turn < 39; turn += 1) await finishOldest()
    expect(count(admitted, 'heavy')).toBe(30)
  })

  // An account that sends to two routers would otherwise get its share twice.
  it('includes the usage that other nodes report', async () => {
    const { api, admit, admitted, settle, finishOldest } = createPool(1)
    api.mergeUsage('other router', [{ clientAccount: 'surging', service: 'desk', tokens: 1_000 }])
    repeat(20, () => admit('surging'))
    repeat(10, () => admit('calm'))
    await settle()
    for (let turn = 0; turn < 9; turn += 1) await finishOldest()
    expect(count(admitted, 'surging')).toBe(1)
  })

  it('drops the usage report of a peer that has stopped reporting', async () => {
    const { clock, api, admit, admitted, settle, finishOldest } = createPool(1)
    api.mergeUsage('other router', [{ clientAccount: 'surging', service: 'desk', tokens: 1_000 }])
    clock.advance(defaultAdmissionOptions.peerUsageMaximumAgeMs + 1)
    repeat(5, () => admit('surging'))
    repeat(5, () => admit('calm'))
    await settle()
    for (let turn = 0; turn < 5; turn += 1) await finishOldest()
    expect(count(admitted, 'surging')).toBe(3)
  })

  it('publishes only the largest users', async () => {
    const { api, admit, settle } = createPool(10, { publishedAccounts: 2 })
    admit('small', { tokens: 1 })
    admit('large', { tokens: 900 })
    admit('middle', { tokens: 90 })
    await settle()
    expect(api.usage()).toEqual([{ service: 'desk', clientAccount: 'large', tokens: 900 }, { service: 'desk', clientAccount: 'middle', tokens: 90 }])
  })

  it('gives overnight requests their configured share under interactive load', async () => {
    const { admit, admitted, settle, finishOldest } = createPool(1, { overnightShare: 0.25 })
    repeat(60, () => admit('desk'))
    repeat(60, () => admit('summaries', { overnight: true }))
    await settle()
    for (let turn = 0; turn < 39; turn += 1) await finishOldest()
    expect(count(admitted, 'summaries')).toBe(10)
  })

  it('uses slots that are freed by other nodes', async () => {
    const { clock, pool, admit, admitted, settle } = createPool(0)
    admit('a')
    pool.slots = 1
    clock.advance(defaultAdmissionOptions.pollIntervalMs)
    await settle()
    expect(admitted).toEqual(['a'])
  })
})

describe('createAdmission when the queue is full', () => {
  it('limits the waiting requests of one account', async () => {
    const { admit } = createPool(0, { maximumQueuedPerAccount: 2 })
    admit('a')
    admit('a')
    expect(reasonOf(await admit('a'))).toBe('queueFull')
  })

  it('queues no request when the maximum queue length is 0', async () => {
    const { admit } = createPool(1, { maximumQueued: 0 })
    expect(reasonOf(await admit('a'))).toBe('admitted')
    expect(reasonOf(await admit('b'))).toBe('overShare')
  })

  it('refuses a request of the account furthest over its share, with a Retry-After', async () => {
    const { admit } = createPool(0, { maximumQueued: 3 })
    const surging = repeat(3, () => admit('surging'))
    admit('calm')
    const refused = await surging[2]!
    expect(refused).toMatchObject({ ok: false, error: { reason: 'overShare' } })
    expect(!refused.ok && refused.error.retryAfterMs).toBeGreaterThan(0)
  })

  it('refuses a new request whose account is furthest over its share', async () => {
    const { admit } = createPool(0, { maximumQueued: 2 })
    admit('calm')
    admit('surging')
    expect(reasonOf(await admit('surging'))).toBe('overShare')
  })

  it('refuses waiting overnight requests before interactive ones', async () => {
    const { admit } = createPool(0, { maximumQueued: 1 })
    const overnight = admit('summaries', { overnight: true })
    admit('desk')
    expect(reasonOf(await overnight)).toBe('overShare')
  })

  it('refuses overnight requests when interactive ones fill the queue', async () => {
    const { admit } = createPool(0, { maximumQueued: 1 })
    admit('desk')
    expect(reasonOf(await admit('summaries', { overnight: true }))).toBe('overShare')
  })
})

describe('createAdmission deadlines and cancellation', () => {
  it('refuses a request whose deadline has passed', async () => {
    const { clock, admit } = createPool(1)
    expect(reasonOf(await admit('a', { deadlineAt: clock.now() }))).toBe('deadline')
  })

  it('refuses a waiting request at its deadline', async () => {
    const { clock, admit, settle } = createPool(0)
    const waiting = admit('a', { deadlineAt: clock.now() + 10 })
    await settle()
    clock.advance(10)
    expect(reasonOf(await waiting)).toBe('deadline')
  })

  it('refuses at once a request that the queue cannot serve before its deadline', async () => {
    const { clock, admit, settle, finishOldest } = createPool(1)
    repeat(20, () => admit('a'))
    await settle()
    for (let turn = 0; turn < 5; turn += 1) {
      clock.advance(1_000)
      await finishOldest()
    }
    const refused = await admit('a', { deadlineAt: clock.now() + 2_000 })
    expect(reasonOf(refused)).toBe('deadline')
  })

  it('removes the request of a caller that disconnects from the queue', async () => {
    const { admit, admitted, settle, finishOldest } = createPool(1)
    const hangUp = new AbortController()
    admit('a')
    const waiting = admit('a', { signal: hangUp.signal })
    admit('b')
    await settle()
    hangUp.abort()
    expect(reasonOf(await waiting)).toBe('cancelled')
    await finishOldest()
    expect(admitted).toEqual(['a', 'b'])
  })
})
