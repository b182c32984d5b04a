/** Asks peers at which software version a stream began. */
import type { Member, PeerReply, PeerTransport } from '../../../types/index.js'

export type HolderReply = { readonly nodeId: string, readonly service: string, readonly reply: Extract<PeerReply, { readonly kind: 'streamBegin' }> }

export type HolderQuestion = {
  readonly service: string
  readonly requestId: string
  /** The route whose stream it is, if peers without a record are to read the registers, which this node can't. */
  readonly routeKey?: string
}

/** Time to wait for the answers of peers, in milliseconds; a live peer answers within a few round trips between zones. */
const LOOKUP_TIMEOUT_MS = 200

/** Asks a peer; `undefined` without an answer. */
const askHolder = async (transport: Pick<PeerTransport, 'request'>, { address, nodeId }: Member, question: HolderQuestion): Promise<HolderReply | undefined> => {
  const result = await transport.request(address, { kind: 'streamBeginRequest', ...question }, LOOKUP_TIMEOUT_MS)
  return result.ok && result.value.kind === 'streamBegin' ? { nodeId, service: question.service, reply: result.value } : undefined
}

/** Asks all peers at once; each answer comes by itself, so that the first useful one is enough. */
export const askHolders = (transport: Pick<PeerTransport, 'request'>, peers: readonly Member[], question: HolderQuestion): readonly Promise<HolderReply | undefined>[] =>
  peers.map((peer) => askHolder(transport, peer, question))
