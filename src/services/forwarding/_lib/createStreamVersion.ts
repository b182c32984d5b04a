/**
 * Keeps the software version of the backend server that brought the first event of one
 * stream. What servers of two versions write doesn't fit together, so that the stream may
 * go on only at servers of that version.
 */
import { UNCERTAIN_VERSION } from '../../../decisions/readSoftwareVersion/index.js'
import type { GatewayRequest } from '../../../types/index.js'

export type StreamVersion = {
  /** The version at which the stream must go on; `undefined` while it may begin anywhere. */
  readonly required: () => string | undefined
  /** The stream began at this version, in another request. */
  readonly require: (softwareVersion: string) => void
  /** The answer that the caller gets comes from the server of this id, at this version. */
  readonly recordAnswer: (server: string, softwareVersion: string) => void
  /**
   * Bytes arrived from the server that answers. `readListed` returns the version that the list has for an id now. Returns
   * true once if it has become uncertain at which version the stream began.
   */
  readonly verify: (readListed: (server: string) => string | undefined) => boolean
}

type Answering = { readonly server: string, softwareVersion: string }

/** Creates the record of one request; `readLastEventId` returns the id of the last event that the caller has. */
export const createStreamVersion = (request: Pick<GatewayRequest, 'relay'>, readLastEventId: () => number | undefined): StreamVersion => {
  const servers = new Map<string, Answering>()
  let answering: Answering | undefined
  const relayed = request.relay?.softwareVersion
  let begunBy: Pick<Answering, 'softwareVersion'> | undefined = relayed === undefined ? undefined : { softwareVersion: relayed }

  return {
    required: () => {
      // Until the first event the latest answer counts; from then on all sends go to its version.
      if ((readLastEventId() ?? 0) > 0) begunBy ??= answering
      return begunBy?.softwareVersion
    },
    require: (softwareVersion) => { begunBy = { softwareVersion } },
    recordAnswer: (server, softwareVersion) => {
      answering = servers.get(server) ?? { server, softwareVersion }
      servers.set(server, answering)
    },
    verify: (readListed) => {
      if (answering === undefined || answering.softwareVersion === UNCERTAIN_VERSION || (begunBy !== undefined && begunBy !== answering)) return false
      // A server that starts again under its id may answer before its entry says so; which of both runs wrote the bytes is not known.
      if ((readListed(answering.server) ?? answering.softwareVersion) === answering.softwareVersion) return false
      answering.softwareVersion = UNCERTAIN_VERSION
      return true
    }
  }
}
