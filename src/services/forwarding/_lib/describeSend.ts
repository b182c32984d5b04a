/** Builds the log fields of a send: the backend server, and the state and load estimates by which the node chose it. */
import type { BackendInstance, GatewayRequest, LogFields } from '../../../types/index.js'
import type { ChosenInstance, LoadBelief } from './chooseInstance.js'
import type { RunContext } from './run.js'

const roundToHundredths = (value: number): number => Number(value.toFixed(2))

/** Revisions and ages of the state that the node used. */
const describeKnowledge = ({ configuration, zoneDrains, warmUp }: RunContext, instance: BackendInstance): LogFields => ({
  configurationVersion: configuration.version(),
  keyAgeMs: Math.round(configuration.confirmedAgeMs()),
  zoneDrainRevision: zoneDrains.revision(),
  warmUpLeftMs: Math.round(warmUp.leftMs(instance))
})

const describeBelief = ({ load, meanLoad, bound, candidates, underBound }: LoadBelief): LogFields =>
  ({ load, meanLoad: roundToHundredths(meanLoad), loadBound: roundToHundredths(bound), candidates, underBound })

/** Returns the fields of `request sent`; times in milliseconds, loads in requests in flight. */
export const describeSend = (context: RunContext, request: Pick<GatewayRequest, 'promptParts'>, { instance, copyPromptFrom, belief }: ChosenInstance): LogFields => ({
  backendServer: instance.id,
  incarnation: instance.incarnation,
  ...describeKnowledge(context, instance),
  // The last part is unique to the request, so the one before it identifies the shared prefix.
  prompt: request.promptParts.at(-2)?.id,
  ...describeBelief(belief),
  copyPromptFrom: copyPromptFrom?.id
})
