/** Selects where the next attempt of a request goes, and keeps what its earlier attempts have reached. */
import { createStreamVersion } from './createStreamVersion.js'
import { computeAvailableInMs, findIneligibility, findVersionProblem, selectInstance, type SelectedInstance, type SelectionInput } from './selectInstance.js'
import type { AttemptTarget } from './attemptTarget.js'
import type { RequestHandlerContext } from './requestHandler.js'
import type { InstanceEligibility } from '../../../decisions/checkInstanceEligibility/index.js'
import { readSoftwareVersion, UNCERTAIN_VERSION } from '../../../decisions/readSoftwareVersion/index.js'
import { isStreamToResume } from '../../../decisions/isStreamToResume/index.js'
import { selectSendPath, type DirectPath } from '../../../decisions/selectSendPath/index.js'
import type { GatewayAccount, GatewayRequest, GatewayRoute, InstanceAnswer, RelayPeer } from '../../../types/index.js'

/** Peers that may fail to take one request: each that refuses costs a round trip, and a caller returns to another node. */
const MAXIMUM_EXCLUDED_PEERS = 3

export type RoutedRequest = {
  readonly route: GatewayRoute
  readonly account: GatewayAccount | undefined
  readonly service: string
  readonly bodyBytes: number
}

export type OpenPath =
  | { readonly kind: 'direct', readonly chosen: SelectedInstance }
  | { readonly kind: 'peer', readonly peer: RelayPeer }

export type SelectedPath = OpenPath | { readonly kind: 'none' }

export type PathSelector = {
  /**
   * Selects a path. `from` is a target that sends nothing and that the request would leave for it: a peer that is not that
   * one, or a server that is not suspended, since a suspended one has not responded to this node either.
   */
  readonly select: (routed: RoutedRequest, from?: AttemptTarget) => SelectedPath
  /** Why no backend server may get the request; `undefined` when all that may were tried. */
  readonly findIneligibility: (routed: RoutedRequest) => InstanceEligibility | 'versionGone' | 'versionUnregistered' | undefined
  /** The software version at which the stream must go on; `undefined` while it may begin anywhere. */
  readonly requiredVersion: () => string | undefined
  /** The stream began at this version, in another request. */
  readonly requireVersion: (softwareVersion: string) => void
  /** Milliseconds until a backend server accepts requests of this node again. */
  readonly computeAvailableInMs: (routed: RoutedRequest) => number
  readonly recordAttempt: (target: AttemptTarget) => void
  /** Nothing was sent to the target, for a reason of this node: it may be selected again. */
  readonly forgetAttempt: (target: AttemptTarget) => void
  /** No connection to the target could be opened, or nothing arrived from it. */
  readonly recordUnreached: (target: AttemptTarget) => void
  /** The request was written to a connection to the target. */
  readonly recordArrival: (target: AttemptTarget) => void
  /** The target states that it did not run the request; a peer may not have sent it to any backend server. */
  readonly recordRefusal: (target: AttemptTarget, answer: InstanceAnswer) => void
  /** The head of a peer's answer names the backend server that it comes from; returns the server's software version, if known. */
  readonly recordServer: (server: Pick<InstanceAnswer, 'servedBy' | 'servedByVersion'>) => string | undefined
  /** The answer that the caller gets comes from the server of this id and software version. */
  readonly recordAnswer: (server: string, softwareVersion: string) => void
  /** Bytes of a stream of the service arrived from the server that answers. */
  readonly recordStreamBytes: (service: string) => void
  /** Whether any backend server may have received the request: a further send is then a retry. */
  readonly hasArrived: () => boolean
  /** Ids of backend servers that may have received the request. */
  readonly listArrived: () => readonly string[]
}

/** Creates the selector of one request; `readLastEventId` returns the id of the last event that the caller has. */
export const createPathSelector = (context: RequestHandlerContext, request: GatewayRequest, readLastEventId: () => number | undefined): PathSelector => {
  const { health, relays } = context
  const isRelayed = request.relay !== undefined
  const arrived = new Set<string>(request.relay?.tried)
  const tried = new Set<string>(arrived)
  const excludedPeers = new Set<string>()
  const streamVersion = createStreamVersion(request, readLastEventId)
  let failedConnects = 0
  let arrivals = 0

  const createInput = ({ route, account, service, bodyBytes }: RoutedRequest): SelectionInput =>
    ({ request, service, bodyBytes, tried, allowedRegions: [route.allowedRegions ?? [], account?.allowedRegions ?? []], softwareVersion: streamVersion.required(), mustBeRegistered: isStreamToResume(route) })

  const classifyDirect = (input: SelectionInput, chosen: SelectedInstance | undefined, unreached: number): DirectPath => {
    if (chosen !== undefined) return chosen.isLastResort ? 'suspended' : 'usable'
    return unreached > 0 && findIneligibility(context, input) === undefined ? 'unreached' : 'none'
  }

  const selectPeer = (service: string, excluded: ReadonlySet<string>): RelayPeer | undefined =>
    isRelayed || excluded.size >= MAXIMUM_EXCLUDED_PEERS ? undefined : relays.select(service, excluded)

  const select: PathSelector['select'] = (routed, from) => {
    const input = createInput(routed)
    const unreached = failedConnects + (from === undefined ? 0 : 1)
    const chosen = selectInstance(context, input)
    const peer = selectPeer(routed.service, from?.kind === 'peer' ? new Set([...excludedPeers, from.id]) : excludedPeers)
    const path = selectSendPath({ direct: classifyDirect(input, chosen, unreached), hasPeer: peer !== undefined, isRelayed, failedConnects: unreached, unheardMs: health.readUnheardMs() })
    if (path === 'peer' && peer !== undefined) return { kind: 'peer', peer }
    if (path !== 'direct' || chosen === undefined) return { kind: 'none' }
    return from !== undefined && chosen.isLastResort ? { kind: 'none' } : { kind: 'direct', chosen }
  }

  /** A peer that passed on the failure of a backend server may still reach another one. */
  const excludePeer = ({ kind, id }: AttemptTarget): void => { if (kind === 'peer') excludedPeers.add(id) }

  const readListedVersion = (server: string): string | undefined => {
    const instance = context.registry.find(server)
    return instance === undefined ? undefined : readSoftwareVersion(instance)
  }

  return {
    select,
    findIneligibility: (routed) => {
      const input = createInput(routed)
      return findVersionProblem(context, input) ?? findIneligibility(context, input)
    },
    requiredVersion: streamVersion.required,
    requireVersion: streamVersion.require,
    computeAvailableInMs: (routed) => computeAvailableInMs(context, createInput(routed)),
    recordAttempt: ({ kind, id }) => { if (kind === 'backendServer') tried.add(id) },
    forgetAttempt: ({ id }) => { if (!arrived.has(id)) tried.delete(id) },
    recordUnreached: (target) => {
      failedConnects += 1
      excludePeer(target)
    },
    recordArrival: ({ kind, id }) => {
      arrivals += 1
      if (kind === 'backendServer') arrived.add(id)
    },
    recordRefusal: (target, { relayRefusal }) => {
      if (target.kind === 'backendServer' || relayRefusal === 'instancesRefused') return
      arrivals -= 1
      excludePeer(target)
    },
    recordServer: ({ servedBy, servedByVersion }) => {
      if (servedBy === undefined) return undefined
      tried.add(servedBy)
      arrived.add(servedBy)
      return servedByVersion ?? readListedVersion(servedBy)
    },
    recordStreamBytes: (service) => {
      if (streamVersion.verify(readListedVersion) && !isRelayed) context.streamVersions.recordBegin(service, { requestId: request.requestId, softwareVersion: UNCERTAIN_VERSION })
    },
    recordAnswer: streamVersion.recordAnswer,
    hasArrived: () => arrivals > 0,
    listArrived: () => [...arrived]
  }
}
