/**
 * Holds the keys that this node is claiming or has in flight, the duplicate requests that
 * wait for their answers, and the outcomes of the latest requests that it sent. The
 * outcomes keep answers correct in an outage: a duplicate of a request that this node sent
 * must not be refused as not run only because the log cannot be read.
 */
import { LRUCache } from 'lru-cache'
import type { StoredAnswer } from '../../../types/index.js'

export type OpenClaimEnd =
  | { readonly kind: 'completed', readonly answer: StoredAnswer }
  /** Not sent; the key is free again. */
  | { readonly kind: 'released' }
  /** Sent; the outcome stays unknown on this node. */
  | { readonly kind: 'unknown' }

export type OpenClaim = {
  readonly claimId: string
  readonly bodyHash: string
  readonly whenEnded: Promise<OpenClaimEnd>
}

const MAXIMUM_ENDED_CLAIMS = 2_000

const MAXIMUM_ENDED_BYTES = 4_000_000

const RECORD_BYTES = 200

export type EndedClaim = { readonly bodyHash: string, readonly end: Exclude<OpenClaimEnd, { readonly kind: 'released' }> }

export type OpenClaims = {
  readonly open: (keyId: string, claimId: string, bodyHash: string) => void
  readonly find: (keyId: string) => OpenClaim | undefined
  /** Ends the claim if it is still the open one of its key. */
  readonly end: (keyId: string, claimId: string, end: OpenClaimEnd) => void
  /** Returns the outcome of a request with this key that this node sent, while it is kept. */
  readonly findEnded: (keyId: string) => EndedClaim | undefined
}

export const createOpenClaims = (): OpenClaims => {
  const claims = new Map<string, OpenClaim & { readonly settle: (end: OpenClaimEnd) => void }>()
  const ended = new LRUCache<string, EndedClaim>({
    max: MAXIMUM_ENDED_CLAIMS,
    maxSize: MAXIMUM_ENDED_BYTES,
    sizeCalculation: ({ end }) => RECORD_BYTES + (end.kind === 'completed' ? end.answer.body.byteLength : 0)
  })

  return {
    open: (keyId, claimId, bodyHash) => {
      let settle: (end: OpenClaimEnd) => void = () => {}
      const whenEnded = new Promise<OpenClaimEnd>((resolve) => { settle = resolve })
      claims.set(keyId, { claimId, bodyHash, whenEnded, settle })
    },
    find: (keyId) => claims.get(keyId),
    end: (keyId, claimId, end) => {
      const claim = claims.get(keyId)
      if (claim?.claimId !== claimId) return
      claims.delete(keyId)
      if (end.kind !== 'released') ended.set(keyId, { bodyHash: claim.bodyHash, end })
      claim.settle(end)
    },
    findEnded: (keyId) => ended.get(keyId)
  }
}
