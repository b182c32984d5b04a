/**
 * Keeps a stream that a caller takes up from its first send until it is known at which
 * software version it began; where that can't be known, the request is refused as not run.
 * One that begins and may be resumed waits a moment for the registers.
 */
import { isStreamToResume } from '../../../decisions/isStreamToResume/index.js'
import type { PathSelector, RoutedRequest } from './createPathSelector.js'
import type { RequestRecord } from './createRequestRecord.js'
import type { FinalAnswer } from './createFinalAnswer.js'
import type { RequestHandlerContext } from './requestHandler.js'
import type { BegunVersion } from '../../streamVersions/index.js'
import type { GatewayRequest } from '../../../types/index.js'

export type VersionGate = {
  /** Whether the request may be sent now; otherwise it is being looked up, or was refused. */
  readonly passes: (routed: RoutedRequest) => boolean
}

export type VersionGateOptions = {
  readonly request: GatewayRequest
  readonly record: Pick<RequestRecord, 'log'>
  readonly paths: Pick<PathSelector, 'requireVersion' | 'requiredVersion'>
  /** The stream goes on at this service, one of those to which its route is split. */
  readonly assignService: (service: string) => void
  /** Sends the request once the version is known; every condition of a send is checked again. */
  readonly send: () => void
  readonly giveUp: FinalAnswer['giveUp']
}

/** Creates the gate of one request. */
export const createVersionGate = ({ streamVersions, metrics, clock }: RequestHandlerContext, { request, record, paths, assignService, send, giveUp }: VersionGateOptions): VersionGate => {
  let state: 'idle' | 'looking' | 'waiting' | 'known' = 'idle'
  const { begunRequestId } = request

  /** A peer that relays a stream has looked its version up itself, and a caller that has no event yet may begin anywhere. */
  const isTakenUp = ({ route }: RoutedRequest): boolean =>
    route.retryPolicy === 'stream' && (request.lastEventId ?? 0) > 0 && request.relay === undefined

  const finish = (found: BegunVersion, since: number): void => {
    metrics.count('gateway_streams_taken_up', { source: found.kind === 'known' ? found.source : 'unknown' })
    if (found.kind === 'unknown') return giveUp('versionUnknown', 502, { begunRequestId, askedPeers: found.asked.join(' '), versions: found.versions.join(' ') })
    state = 'known'
    paths.requireVersion(found.softwareVersion)
    assignService(found.service)
    record.log('stream version found', { begunRequestId, service: found.service, softwareVersion: found.softwareVersion, source: found.source, toldBy: found.toldBy, lookupMs: Math.round(clock.now() - since) })
    send()
  }

  /** Whether the stream may begin, or can't wait any longer: the choice of a server then decides. */
  const passesBegin = ({ route, service }: RoutedRequest): boolean => {
    const registering = isStreamToResume(route) && paths.requiredVersion() === undefined ? streamVersions.waitToBegin(service) : undefined
    if (registering === undefined) return true
    state = 'waiting'
    registering.then(() => {
      state = 'known'
      send()
    })
    return false
  }

  return {
    passes: (routed) => {
      if (state === 'known') return true
      if (state !== 'idle') return false
      if (!isTakenUp(routed)) return passesBegin(routed)
      state = 'looking'
      const since = clock.now()
      streamVersions.find(routed.route, begunRequestId).then((found) => finish(found, since))
      return false
    }
  }
}
