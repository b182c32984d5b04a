/** A peer as the target of an attempt; it selects the backend server itself. */
import type { AttemptFailure, AttemptTarget } from './attemptTarget.js'
import type { PeerRelays, RelayFailure } from '../../peerRelays/index.js'
import type { FinalReason, RelayAttempt } from '../../../types/index.js'

/** An answer that breaks off or reports a failure may do so at the backend server, which shows nothing about the peer. */
const failures: Readonly<Record<AttemptFailure, RelayFailure | undefined>> = { unreachable: 'unreachable', silent: 'silent', broken: undefined, errored: undefined }

/** Refusals that show that the peer can't help with requests of any service now; the others are about one service, route or key. */
const OWN_REASONS: ReadonlySet<FinalReason> = new Set(['noInstance', 'relayLimit', 'shuttingDown', 'noConfiguration'])

/** Creates the target of one attempt. */
export const createPeerTarget = (relays: PeerRelays, attempt: RelayAttempt): AttemptTarget => {
  const { peer } = attempt
  return {
    kind: 'peer',
    id: peer.nodeId,
    logFields: { peer: peer.nodeId },
    recordStart: () => relays.recordStart(peer),
    recordEnd: () => relays.recordEnd(peer),
    recordBytes: () => relays.recordBytes(peer),
    recordHead: () => { /* load and notices in the answer belong to the backend server, and were recorded by the peer */ },
    recordSuccess: () => { /* its time includes the hop, so that it is not compared with those of backend servers */ },
    recordFailure: (kind) => {
      const failure = failures[kind]
      if (failure !== undefined) relays.recordFailure(peer, failure)
    },
    recordRefusal: ({ relayRefusal }) => { if (relayRefusal !== undefined && OWN_REASONS.has(relayRefusal)) relays.recordFailure(peer, 'refused') },
    readIdleMs: () => relays.readIdleMs(peer),
    maySend: () => true,
    send: (listener) => relays.send(attempt, listener)
  }
}
