/** Builds the log fields of a send: the backend server, and the state and load estimates by which the node selected it. */
import type { BackendInstance, GatewayRequest, LogFields } from '../../../types/index.js'
import type { SelectedInstance, LoadEstimate } from './selectInstance.js'
import type { RequestHandlerContext } from './requestHandler.js'

const roundToHundredths = (value: number): number => Number(value.toFixed(2))

/** Revisions and ages of the state that the node used. */
const describeState = ({ configuration, zoneDrains, warmUp, notices }: RequestHandlerContext, instance: BackendInstance): LogFields => ({
  configurationVersion: configuration.version(),
  keyAgeMs: Math.round(configuration.confirmedAgeMs()),
  zoneDrainRevision: zoneDrains.revision(),
  warmUpLeftMs: Math.round(warmUp.remainingMs(instance)),
  backoffLeftMs: Math.round(notices.backoffRemainingMs(instance))
})

/** Fields that are `undefined` are left out of the line. */
const describeWork = ({ work, slowdown }: Pick<LoadEstimate, 'work' | 'slowdown'>): LogFields => ({
  unreadTokens: work === undefined ? undefined : Math.round(work.unreadTokens),
  memoryFree: work === undefined ? undefined : Math.round(work.memoryFreeTokens),
  slowdown: slowdown?.slowdown,
  slowdownAgeMs: slowdown === undefined ? undefined : Math.round(slowdown.ageMs)
})

const describeLoadEstimate = ({ load, ownLoad, source, meanLoad, bound, candidates, underBound }: LoadEstimate): LogFields =>
  ({ load, ownLoad, loadSum: source?.sum, loadAgeMs: source?.ageMs, meanLoad: roundToHundredths(meanLoad), loadBound: roundToHundredths(bound), candidates, underBound })

/** Returns the fields of `request sent`; times in milliseconds, loads in requests in flight. */
export const describeSend = (context: RequestHandlerContext, request: Pick<GatewayRequest, 'promptParts'>, { instance, copyPromptFrom, loadEstimate, promptEstimate }: SelectedInstance): LogFields => ({
  service: instance.service,
  backendServer: instance.id,
  incarnation: instance.incarnation,
  softwareVersion: instance.softwareVersion,
  ...describeState(context, instance),
  // The last part is unique to the request, so the one before it identifies the shared prefix.
  prompt: request.promptParts.at(-2)?.id,
  ...(promptEstimate.sharedTokens > 0 ? promptEstimate : {}),
  ...describeLoadEstimate(loadEstimate),
  ...describeWork(loadEstimate),
  copyPromptFrom: copyPromptFrom?.id
})
