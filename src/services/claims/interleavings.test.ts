/**
 * Random interleavings of claims, releases and sends at three nodes, with
 * refused calls, lost replies, late writes, pauses, restarts and pruning.
 */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createClaimNodes } from '../../../test/_lib/createClaimNodes.js'
import type { ClaimNode, ClaimNodes } from '../../../test/_lib/createClaimNodes.js'
import type { CallFault } from '../../../test/_lib/createFaultyPlatform.js'

const NODES = 3
const KEYS = ['order-1', 'order-2']
const HASH = 'body hash'
const SEED = 20_261_202
const RUNS = 150

type Step =
  | { readonly kind: 'claim', readonly node: number, readonly key: number, readonly sends: boolean }
  | { readonly kind: 'fault', readonly node: number, readonly faults: readonly CallFault[] }
  | { readonly kind: 'reach', readonly node: number, readonly isReachable: boolean }
  | { readonly kind: 'resume', readonly node: number }
  | { readonly kind: 'restart', readonly node: number }
  | { readonly kind: 'wait', readonly ms: number }

const node = fc.nat({ max: NODES - 1 })
const faults = fc.array(fc.constantFrom<CallFault>('none', 'none', 'refused', 'replyLost', 'late', 'paused'), { minLength: 1, maxLength: 12 })
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('claim' as const), node, key: fc.nat({ max: KEYS.length - 1 }), sends: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('fault' as const), node, faults }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('reach' as const), node, isReachable: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('resume' as const), node }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), node }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 60 }) }) }
)

type Interleaving = {
  readonly cluster: ClaimNodes
  readonly nodes: ClaimNode[]
  /** Number of grants by key whose request was sent; must never exceed one. */
  readonly sent: Map<string, number>
  readonly liveGrants: Map<string, number>
  readonly problems: string[]
}

const createKey = (index: number) => ({ clientAccount: 'deli', idempotencyKey: KEYS[index]! })

/** Claims a key, and then either sends the request or releases the claim. */
const claimOnce = async (run: Interleaving, claimant: ClaimNode, keyIndex: number, sends: boolean): Promise<void> => {
  const key = createKey(keyIndex)
  const name = key.idempotencyKey
  const outcome = await claimant.claims.claim(key, HASH)
  if (outcome.kind !== 'granted') return
  const alive = (run.liveGrants.get(name) ?? 0) + 1
  run.liveGrants.set(name, alive)
  if (alive > 1) run.problems.push(`${name} is granted twice at once`)
  if (run.sent.has(name)) run.problems.push(`${name} is granted after it was sent`)
  if (sends) {
    run.sent.set(name, (run.sent.get(name) ?? 0) + 1)
    return
  }
  run.liveGrants.set(name, alive - 1)
  claimant.claims.release(key, outcome.claimId)
}

const handlers: { readonly [Kind in Step['kind']]: (run: Interleaving, step: Extract<Step, { kind: Kind }>) => Promise<void> | void } = {
  claim: (run, { node, key, sends }) => { claimOnce(run, run.nodes[node]!, key, sends) },
  fault: (run, { node, faults }) => {
    let next = 0
    run.nodes[node]!.platform.setFault(() => faults[next++] ?? 'none')
  },
  reach: (run, { node, isReachable }) => { run.nodes[node]!.setReachable(isReachable) },
  resume: (run, { node }) => { run.nodes[node]!.platform.resume() },
  restart: (run, { node }) => { run.nodes[node] = run.cluster.restart(run.nodes[node]!.nodeId) },
  wait: (run, { ms }) => run.cluster.run(ms)
}

const heal = async (run: Interleaving): Promise<void> => {
  for (const healed of [...run.nodes, ...run.cluster.nodes]) {
    healed.platform.setFault(() => 'none')
    healed.platform.resume()
    await healed.platform.deliverLate()
  }
  await run.cluster.run(300)
}

const runSteps = async (steps: readonly Step[], pruneEvery: number): Promise<Interleaving> => {
  const cluster = createClaimNodes(NODES, { pruneEvery, keptBatches: 0 })
  const run: Interleaving = { cluster, nodes: [...cluster.nodes], sent: new Map(), liveGrants: new Map(), problems: [] }
  for (const step of steps) await (handlers[step.kind] as (run: Interleaving, step: Step) => Promise<void> | void)(run, step)
  await heal(run)
  for (const [index] of KEYS.entries()) await Promise.all(run.nodes.map((claimant) => cluster.settle(claimOnce(run, claimant, index, true))))
  return run
}

describe('createClaims under random interleavings', () => {
  it.each([['without pruning', 1_000_000], ['with pruning after each batch or two', 2]])('grants a key that is sent only once, %s', async (_name, pruneEvery) => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), async (steps) => {
      const run = await runSteps(steps, pruneEvery)
      expect(run.problems).toEqual([])
      expect([...run.sent.values()].every((count) => count === 1)).toBe(true)
    }), { seed: SEED, numRuns: RUNS })
  })
})
