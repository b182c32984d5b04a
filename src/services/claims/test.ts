import { describe, expect, it } from 'vitest'
import { createClaimNodes } from '../../../test/_lib/createClaimNodes.js'
import type { ClaimNode, ClaimNodes } from '../../../test/_lib/createClaimNodes.js'
import type { CallFault } from '../../../test/_lib/createFaultyPlatform.js'
import { selectShardWriter } from '../../decisions/selectShardWriter/index.js'
import type { ClaimOutcome, StoredAnswer } from '../../types/index.js'

const KEY = { clientAccount: 'deli', idempotencyKey: 'order-1' }
const OTHER_KEY = { clientAccount: 'deli', idempotencyKey: 'order-2' }
const HASH = 'body hash'

const createAnswer = (text = 'done'): StoredAnswer => ({ status: 200, headers: { 'content-type': 'text/plain' }, body: new TextEncoder().encode(text) })

const readText = (outcome: ClaimOutcome): string | undefined =>
  outcome.kind === 'answered' ? new TextDecoder().decode(outcome.answer.body) : undefined

const isBatch = (name: string): boolean => /\/\d+$/.test(name)

/** Injects the fault into the first create of a batch; all other calls pass. */
const faultFirstAppend = (fault: CallFault) => {
  let isUsed = false
  return (call: string, name: string): CallFault => {
    if (isUsed || call !== 'create' || !isBatch(name)) return 'none'
    isUsed = true
    return fault
  }
}

const createPair = (overrides = {}): ClaimNodes & { readonly first: ClaimNode, readonly second: ClaimNode } => {
  const cluster = createClaimNodes(2, overrides)
  return { ...cluster, first: cluster.nodes[0]!, second: cluster.nodes[1]! }
}

/** Partitions the nodes, so that each appends to the log itself. */
const cutPeers = (nodes: readonly ClaimNode[]): void => { for (const node of nodes) node.setReachable(false) }

const grantId = (outcome: ClaimOutcome): string => {
  if (outcome.kind !== 'granted') throw new Error(`expected a grant, got ${outcome.kind}`)
  return outcome.claimId
}

describe('createClaims', () => {
  it.each([['through one writer', false], ['with the peers cut off from each other', true]])('grants a key to only one of two concurrent claimants, %s', async (_name, isCut) => {
    const { nodes, first, second, settle } = createPair()
    if (isCut) cutPeers(nodes)
    const outcomes = await settle(Promise.all([first.claims.claim(KEY, HASH), second.claims.claim(KEY, HASH)]))
    expect(outcomes.map((outcome) => outcome.kind).sort()).toEqual(['claimedElsewhere', 'granted'])
  })

  it('returns the stored answer at any node', async () => {
    const { first, second, settle } = createPair()
    const claimId = grantId(await settle(first.claims.claim(KEY, HASH)))
    await settle(first.claims.complete(KEY, claimId, createAnswer()))
    expect(readText(await settle(second.claims.claim(KEY, HASH)))).toBe('done')
    expect(readText(await settle(first.claims.claim(KEY, HASH)))).toBe('done')
  })

  it('requests an answer that is not in the log yet from the holder', async () => {
    const { nodes, first, second, settle, run } = createPair()
    const claimId = grantId(await settle(first.claims.claim(KEY, HASH)))
    for (const node of nodes) node.platform.setFault((call) => call === 'create' ? 'refused' : 'none')
    first.claims.complete(KEY, claimId, createAnswer())
    await run(10)
    second.platform.setFault(() => 'none')
    expect(readText(await settle(second.claims.claim(KEY, HASH)))).toBe('done')
  })

  it('refuses a key that is reused with another body', async () => {
    const { first, second, settle } = createPair()
    await settle(first.claims.claim(KEY, HASH))
    expect((await settle(first.claims.claim(KEY, 'other'))).kind).toBe('keyReused')
    expect((await settle(second.claims.claim(KEY, 'other'))).kind).toBe('keyReused')
  })

  it('keeps the keys of two client accounts apart', async () => {
    const { first, settle } = createPair()
    await settle(first.claims.claim(KEY, HASH))
    expect((await settle(first.claims.claim({ ...KEY, clientAccount: 'cafe' }, HASH))).kind).toBe('granted')
  })

  it('lets a duplicate request wait for the answer of the request in flight', async () => {
    const { first, settle, run } = createPair()
    const claimId = grantId(await settle(first.claims.claim(KEY, HASH, 1_000)))
    const repeat = first.claims.claim(KEY, HASH, 1_000)
    await run(20)
    first.claims.complete(KEY, claimId, createAnswer())
    expect(readText(await settle(repeat))).toBe('done')
  })

  it('reports an unknown outcome to a waiting duplicate request at its deadline', async () => {
    const { first, settle } = createPair()
    await settle(first.claims.claim(KEY, HASH, 1_000))
    expect((await settle(first.claims.claim(KEY, HASH, 1_000))).kind).toBe('claimedElsewhere')
  })

  it('grants a released key to a waiting duplicate request', async () => {
    const { first, settle, run } = createPair()
    const claimId = grantId(await settle(first.claims.claim(KEY, HASH, 1_000)))
    const repeat = first.claims.claim(KEY, HASH, 1_000)
    await run(20)
    first.claims.release(KEY, claimId)
    expect((await settle(repeat)).kind).toBe('granted')
  })

  it('reports that a request ran when its answer was too large to store', async () => {
    const { first, second, settle } = createPair({ maximumAnswerBytes: 3 })
    const claimId = grantId(await settle(first.claims.claim(KEY, HASH)))
    await settle(first.claims.complete(KEY, claimId, createAnswer('four')))
    const repeat = await settle(second.claims.claim(KEY, HASH))
    expect(repeat.kind === 'answered' && repeat.answer.status).toBe(409)
    expect(readText(repeat)).toContain('answerNotKept')
  })

  it('forgets a claim after the retention', async () => {
    const { first, second, settle, run } = createPair({ retentionMs: 500 })
    await settle(first.claims.claim(KEY, HASH))
    await run(600)
    await settle(second.claims.claim(OTHER_KEY, HASH))
    expect((await settle(second.claims.claim(KEY, HASH))).kind).toBe('granted')
  })
})

describe('createClaims when the platform fails', () => {
  // A lost reply shows neither success nor failure: the node must read the log back.
  it('grants a claim whose reply was lost after the write took effect', async () => {
    const { nodes, first, second, settle } = createPair()
    cutPeers(nodes)
    first.platform.setFault(faultFirstAppend('replyLost'))
    expect((await settle(first.claims.claim(KEY, HASH))).kind).toBe('granted')
    expect((await settle(second.claims.claim(KEY, HASH))).kind).toBe('claimedElsewhere')
  })

  // Otherwise the key would stay blocked by a claim whose request was never sent.
  it.each<CallFault>(['replyLost', 'late'])('frees the key of a claim that was refused as not run (%s)', async (fault) => {
    const { nodes, first, second, settle, run } = createPair()
    cutPeers(nodes)
    let isDown = false
    first.platform.setFault((call, name) => {
      if (isDown) return 'refused'
      if (call !== 'create' || !isBatch(name)) return 'none'
      isDown = true
      return fault
    })
    expect((await settle(first.claims.claim(KEY, HASH))).kind).toBe('unavailable')
    first.platform.setFault(() => 'none')
    await first.platform.deliverLate()
    await run(100)
    expect((await settle(second.claims.claim(KEY, HASH))).kind).toBe('granted')
  })

  it('never grants a claim that arrives in the log after it was given up', async () => {
    const { nodes, first, second, settle, run } = createPair()
    cutPeers(nodes)
    first.platform.setFault((call, name) => call === 'create' && isBatch(name) ? 'late' : call === 'read' && isBatch(name) ? 'refused' : 'none')
    expect((await settle(first.claims.claim(KEY, HASH))).kind).toBe('unavailable')
    first.platform.setFault(() => 'none')
    await run(100)
    expect((await settle(second.claims.claim(KEY, HASH))).kind).toBe('granted')
    await first.platform.deliverLate()
    await run(100)
    expect((await settle(first.claims.claim(KEY, HASH))).kind).toBe('claimedElsewhere')
  })

  it('refuses at once in an outage and grants again after it', async () => {
    const { nodes, first, settle, run } = createPair()
    for (const node of nodes) node.platform.setFault(() => 'refused')
    expect((await settle(first.claims.claim(KEY, HASH))).kind).toBe('unavailable')
    for (const node of nodes) node.platform.setFault(() => 'none')
    await run(100)
    expect((await settle(first.claims.claim(KEY, HASH))).kind).toBe('granted')
  })

  // Otherwise a request that was answered in an outage would be refused as not run when its caller retries.
  it('returns the answer of a request that this node sent while the platform is down', async () => {
    const { nodes, first, settle } = createPair()
    const claimId = grantId(await settle(first.claims.claim(KEY, HASH)))
    for (const node of nodes) node.platform.setFault(() => 'refused')
    first.claims.complete(KEY, claimId, createAnswer())
    expect(readText(await settle(first.claims.claim(KEY, HASH)))).toBe('done')
  })

  it('does not report a request that this node sent with an unknown outcome as not run', async () => {
    const { nodes, first, settle } = createPair()
    const claimId = grantId(await settle(first.claims.claim(KEY, HASH)))
    first.claims.recordUnknown?.(KEY, claimId)
    for (const node of nodes) node.platform.setFault(() => 'refused')
    expect((await settle(first.claims.claim(KEY, HASH))).kind).toBe('claimedElsewhere')
  })
})

describe('createClaims when nodes pause, resume or restart', () => {
  // Otherwise the claim of a killed router, which may have sent its request, would be granted again.
  it('never grants a key that a node held before its restart', async () => {
    const { first, second, settle, restart } = createPair()
    await settle(first.claims.claim(KEY, HASH))
    const restarted = restart(first.nodeId)
    expect((await settle(restarted.claims.claim(KEY, HASH))).kind).toBe('claimedElsewhere')
    expect((await settle(second.claims.claim(KEY, HASH))).kind).toBe('claimedElsewhere')
  })

  // Otherwise a paused claimant that resumes would send a request that another node has sent.
  it('does not grant a key to a node that resumes after another node was granted it', async () => {
    const { nodes, first, second, settle, run } = createPair()
    cutPeers(nodes)
    first.platform.setFault(faultFirstAppend('paused'))
    const pausedClaim = first.claims.claim(KEY, HASH)
    await run(50)
    expect(first.platform.pausedCalls()).toBe(1)
    expect((await settle(second.claims.claim(KEY, HASH))).kind).toBe('granted')
    first.platform.resume()
    expect((await settle(pausedClaim)).kind).toBe('claimedElsewhere')
  })

  // The write of a paused claimant succeeds in the place of a batch that was pruned meanwhile.
  it('does not grant a key to a node that resumes and writes below the floor of the pruned log', async () => {
    const { nodes, platform, settle, run } = createPair({ pruneEvery: 5 })
    const pruner = selectShardWriter(nodes.map((node) => node.nodeId), 0)
    const second = nodes.find((node) => node.nodeId === pruner)!
    const first = nodes.find((node) => node.nodeId !== pruner)!
    cutPeers(nodes)
    await settle(first.claims.claim({ ...KEY, idempotencyKey: 'warm up' }, HASH))
    first.platform.setFault(faultFirstAppend('paused'))
    const pausedClaim = first.claims.claim(KEY, HASH)
    await run(50)
    await settle(second.claims.claim(KEY, HASH))
    for (let index = 0; index < 40; index += 1) await settle(second.claims.claim({ ...KEY, idempotencyKey: `more ${index}` }, HASH))
    await run(50)
    const batchOfKey = 'claims/0/000000000001'
    expect(await platform.readObject(batchOfKey)).toEqual({ ok: true, value: undefined })
    first.platform.resume()
    const outcome = await settle(pausedClaim)
    expect(await platform.readObject(batchOfKey)).toMatchObject({ ok: true, value: { name: batchOfKey } })
    expect(outcome.kind).toBe('claimedElsewhere')
  })
})
