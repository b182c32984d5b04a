/** Asks peers when answers to requests with some prompt parts were last in order, and how many requests of the service broke. */
import type { Clock, Member, PeerTransport, RequestCounts } from '../../../types/index.js'

export type SoundPartsQuestion = { readonly service: string, readonly parts: readonly string[] }

export type SoundPartsAnswer = {
  /** Monotonic milliseconds of the last sound answer that any peer had, in the order of the parts; negative infinity without one. */
  readonly soundAt: readonly number[]
  /** Sums over the peers. */
  readonly counts: RequestCounts
  readonly replies: number
}

/** A live peer answers within a few round trips between zones. */
const TIMEOUT_MS = 200

/** Asks all the peers at once, and resolves once each has answered or the time is over. */
export const askForSoundParts = async (transport: Pick<PeerTransport, 'request'>, clock: Pick<Clock, 'now'>, peers: readonly Member[], { service, parts }: SoundPartsQuestion): Promise<SoundPartsAnswer> => {
  const askedAt = clock.now()
  const results = await Promise.all(peers.map(({ address }) => transport.request(address, { kind: 'soundPartsRequest', service, parts }, TIMEOUT_MS)))
  const replies = results.flatMap((result) => result.ok && result.value.kind === 'soundParts' ? [result.value] : [])
  return {
    // The ages count from a moment after the question: no answer counts as later than it was.
    soundAt: parts.map((_, index) => Math.max(-Infinity, ...replies.map(({ soundAgesMs }) => askedAt - (soundAgesMs[index] ?? Infinity)))),
    counts: replies.reduce((sum, { counts }) => ({ complete: sum.complete + counts.complete, broken: sum.broken + counts.broken }), { complete: 0, broken: 0 }),
    replies: replies.length
  }
}
