/** A peer as the target of an attempt; it selects the backend server itself. */
import type { AttemptFailure, AttemptTarget } from './attemptTarget.js'
import type { PeerRelays, RelayFailure } from '../../peerRelays/index.js'
import type { FinalReason, RelayAttempt } from '../../../types/index.js'

/** An answer that breaks off or reports a failure may do so at the backend server, which shows nothing about the peer. */
const failures: Readonly<Record<AttemptFailure, RelayFailure | undefined>> = { unreachable: 'unreachable', silent: 'silent', broken: undefined, errored: undefined }

/** What a refusal shows about the peer. The other reasons hold on every node, or pass within a request or two. */
const refusals: Partial<Readonly<Record<FinalReason, RelayFailure>>> = { noInstance: 'noServer', relayLimit: 'busy', memoryFull: 'busy', shuttingDown: 'busy', noConfiguration: 'busy' }

/** Creates the target of one attempt. */
export const createPeerTarget = (relays: PeerRelays, attempt: RelayAttempt): AttemptTarget => {
  const { peer, origin } = attempt

  const report = (failure: RelayFailure | undefined): void => { if (failure !== undefined) relays.recordFailure(peer, origin.service, failure) }

  return {
    kind: 'peer',
    id: peer.nodeId,
    logFields: { peer: peer.nodeId },
    recordStart: () => relays.recordStart(peer),
    recordEnd: () => relays.recordEnd(peer),
    recordBytes: () => relays.recordBytes(peer),
    // Load and notices in the answer belong to the backend server, and were recorded by the peer.
    recordHead: ({ relayRefusal }) => { if (relayRefusal === undefined) relays.recordAnswer(origin.service) },
    recordSuccess: () => { /* its time includes the hop, so that it is not compared with those of backend servers */ },
    recordComplete: () => { /* the peer records what the answer shows about its prompt */ },
    recordFailure: (kind) => report(failures[kind]),
    recordRefusal: ({ relayRefusal }) => report(relayRefusal === undefined ? undefined : refusals[relayRefusal]),
    readIdleMs: () => relays.readIdleMs(peer),
    describeSilence: () => ({ instanceWaitedMs: relays.readIdleMs(peer) }),
    maySend: () => true,
    send: (listener) => relays.send(attempt, listener)
  }
}
