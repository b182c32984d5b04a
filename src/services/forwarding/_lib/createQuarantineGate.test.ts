import { describe, expect, test } from 'vitest'
import { createQuarantineGate } from './createQuarantineGate.js'
import type { RequestHandlerContext } from './requestHandler.js'
import type { QuarantineVerdict } from '../../promptQuarantine/index.js'

const SERVICE = 'engines'
const EVIDENCE = { service: SERVICE, part: 'a', endedServers: 's1@1 s2@1', trials: 1, evidenceOf: 'own' }
const REFUSED: QuarantineVerdict = { kind: 'refused', part: 'a', nextTrialMs: 4_000, evidence: EVIDENCE }
const TRIAL_DUE: QuarantineVerdict = { kind: 'trialDue', part: 'a' }

type Setup = { readonly verdict: QuarantineVerdict, readonly isGranted?: boolean, readonly hasArrived?: boolean, readonly isRelayed?: boolean }

const start = ({ verdict, isGranted = true, hasArrived = false, isRelayed = false }: Setup) => {
  const calls: string[] = []
  const asked: (readonly string[])[] = []
  const context = {
    clock: { now: () => 0 },
    quarantine: {
      inspect: (_service: string, parts: readonly string[]) => {
        asked.push(parts)
        return verdict
      },
      claimTrial: async () => isGranted
    }
  } as unknown as RequestHandlerContext
  const gate = createQuarantineGate(context, {
    request: {
      promptParts: ['a', 'b', 'own'].map((id) => ({ id, tokens: 10 })),
      ...(isRelayed ? { relay: { nodeId: 'node-2', service: SERVICE, tried: [] } } : {})
    } as unknown as Parameters<typeof createQuarantineGate>[1]['request'],
    record: { log: (event) => { calls.push(event) } },
    paths: { hasArrived: () => hasArrived },
    send: () => { calls.push('send') },
    refuse: ({ status, reason, retryAfterMs }, evidence) => { calls.push(`${status} ${reason} ${retryAfterMs} ${String(evidence?.['endedServers'])}`) },
    giveUp: (reason, status) => { calls.push(`give up ${reason} ${status}`) }
  })
  return { gate, calls, asked }
}

const settle = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

describe('createQuarantineGate', () => {
  test('passes a request without a quarantined part, asking for its shared parts', () => {
    const { gate, calls, asked } = start({ verdict: { kind: 'open' } })
    expect([gate.passes(SERVICE), calls, asked]).toEqual([true, [], [['a', 'b']]])
  })

  test('refuses at once as not run, with the time of the next trial and the evidence', () => {
    const { gate, calls } = start({ verdict: REFUSED })
    expect([gate.passes(SERVICE), calls]).toEqual([false, ['503 promptQuarantined 4000 s1@1 s2@1']])
  })

  // A server may have run it: "not run" would be false.
  test('gives up a request that a server may have received', () => {
    const { gate, calls } = start({ verdict: REFUSED, hasArrived: true })
    expect([gate.passes(SERVICE), calls]).toEqual([false, ['give up promptQuarantined 502']])
  })

  test('sends the request that wins the trial, and no other', async () => {
    const { gate, calls } = start({ verdict: TRIAL_DUE })
    expect(gate.passes(SERVICE)).toBe(false)
    expect(gate.passes(SERVICE)).toBe(false)
    await settle()
    expect([calls, gate.passes(SERVICE)]).toEqual([['prompt part trial', 'send'], true])
    const lost = start({ verdict: TRIAL_DUE, isGranted: false })
    lost.gate.passes(SERVICE)
    await settle()
    expect([lost.gate.passes(SERVICE), lost.calls]).toEqual([false, ['send', 'give up promptQuarantined 502']])
  })

  // The node of the caller has decided about a trial already.
  test('claims no trial for a request of a peer', () => {
    const { gate, calls } = start({ verdict: TRIAL_DUE, isRelayed: true })
    expect([gate.passes(SERVICE), calls]).toEqual([false, ['give up promptQuarantined 502']])
  })
})
