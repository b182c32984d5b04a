/**
 * Recent usage of each client account in tokens, at this node and as reported
 * by peers. Nodes report only their largest users, so control traffic does not
 * grow with the number of accounts.
 */
import { decayUsage } from '../../../decisions/decayUsage/index.js'
import type { AccountUsage, Clock } from '../../../types/index.js'

/** Entries whose decayed usage is below this many tokens are removed. */
const NEGLIGIBLE_TOKENS = 1

export type UsageRecord = {
  /** Adds tokens; a negative amount corrects an estimate that was too high. */
  readonly charge: (service: string, clientAccount: string, tokens: number) => void
  /** Decayed tokens of the whole fleet. */
  readonly measureFleet: (service: string, clientAccount: string) => number
  /** The largest users of this node alone. */
  readonly listLargest: (count: number) => readonly AccountUsage[]
  readonly mergePeer: (nodeId: string, usage: readonly AccountUsage[]) => void
}

type Amount = { readonly tokens: number, readonly at: number }

type PeerUsage = { readonly at: number, readonly tokensByKey: ReadonlyMap<string, number> }

const formatKey = (service: string, clientAccount: string): string => JSON.stringify([service, clientAccount])

export type UsageRecordOptions = { readonly halfLifeMs: number, readonly peerUsageMaximumAgeMs: number }

/**
 * Creates an empty usage record.
 *
 * @param clock - Monotonic time.
 * @param options - Half-life of usage and the age at which a peer's report expires, in milliseconds.
 * @returns The usage record.
 */
export const createUsageRecord = (clock: Clock, options: UsageRecordOptions): UsageRecord => {
  const own = new Map<string, Amount>()
  const peers = new Map<string, PeerUsage>()

  const decayNow = (amount: Amount): number => decayUsage(amount.tokens, clock.now() - amount.at, options.halfLifeMs)

  const measureOwn = (key: string): number => {
    const amount = own.get(key)
    return amount === undefined ? 0 : decayNow(amount)
  }

  const measurePeers = (key: string): number => {
    let sum = 0
    for (const [nodeId, peer] of peers) {
      if (clock.now() - peer.at > options.peerUsageMaximumAgeMs) peers.delete(nodeId)
      else sum += decayNow({ tokens: peer.tokensByKey.get(key) ?? 0, at: peer.at })
    }
    return sum
  }

  const removeNegligible = (): void => {
    for (const [key, amount] of own) {
      if (decayNow(amount) < NEGLIGIBLE_TOKENS) own.delete(key)
    }
  }

  return {
    charge: (service, clientAccount, tokens) => {
      const key = formatKey(service, clientAccount)
      own.set(key, { tokens: Math.max(0, measureOwn(key) + tokens), at: clock.now() })
    },
    measureFleet: (service, clientAccount) => {
      const key = formatKey(service, clientAccount)
      return measureOwn(key) + measurePeers(key)
    },
    listLargest: (count) => {
      removeNegligible()
      return [...own.entries()]
        .map(([key, amount]) => ({ key, tokens: decayNow(amount) }))
        .sort((left, right) => right.tokens - left.tokens)
        .slice(0, count)
        .map(({ key, tokens }) => {
          const [service, clientAccount] = JSON.parse(key) as [string, string]
          return { service, clientAccount, tokens: Math.round(tokens) }
        })
    },
    mergePeer: (nodeId, usage) => {
      const tokensByKey = new Map(usage.map((entry) => [formatKey(entry.service ?? '', entry.clientAccount), entry.tokens]))
      peers.set(nodeId, { at: clock.now(), tokensByKey })
    }
  }
}
