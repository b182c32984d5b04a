/** Asks peers when answers to requests with some prompt parts were last in order. */
import type { Clock, Member, PeerTransport } from '../../../types/index.js'

/** Monotonic milliseconds of the last sound answer that any peer had, in the order of the parts; negative infinity without one. */
export type SoundTimes = readonly number[]

export type SoundPartsQuestion = { readonly service: string, readonly parts: readonly string[] }

/** A live peer answers within a few round trips between zones. */
const TIMEOUT_MS = 200

/** Asks all the peers at once, and resolves once each has answered or the time is over. */
export const askForSoundParts = async (transport: Pick<PeerTransport, 'request'>, clock: Pick<Clock, 'now'>, peers: readonly Member[], { service, parts }: SoundPartsQuestion): Promise<SoundTimes> => {
  const askedAt = clock.now()
  const results = await Promise.all(peers.map(({ address }) => transport.request(address, { kind: 'soundPartsRequest', service, parts }, TIMEOUT_MS)))
  const replies = results.flatMap((result) => result.ok && result.value.kind === 'soundParts' ? [result.value.soundAgesMs] : [])
  // From the time of the question on: the ages count from a moment after it, so that no answer counts as later than it was.
  return parts.map((_, index) => Math.max(-Infinity, ...replies.map((ages) => askedAt - (ages[index] ?? Infinity))))
}
