/** Registers the queues of requests that wait for room, and the exchange of what client accounts use in the fleet. */
import { createUsageContributor } from '../../_lib/createUsageContributor.js'
import type { Kernel } from '../../../kernel/index.js'
import { createAdmission, defaultAdmissionOptions } from '../../../services/admission/index.js'
import type { GatewayNodeDependencies, GatewayServices } from '../index.js'

/** Bodies of waiting requests. The smallest VMs have 250 MB, of which a node without load uses less than a third. */
const MAXIMUM_QUEUED_BYTES = 16 * 1024 * 1024
/** Requests to plain services run for a few hundredths of a second, so that slots that other nodes free are seen late. */
const POLL_INTERVAL_MS = 25

/** Registers the service. Without `controlsAdmission` nothing asks it, and it publishes nothing. */
export const registerAdmission = (kernel: Kernel<GatewayServices>, { clock, metrics }: GatewayNodeDependencies): void => {
  kernel.register({
    name: 'admission',
    dependsOn: ['instanceRegistry', 'membership', 'heartbeatExchange'],
    create: (resolve) => {
      const registry = resolve('instanceRegistry')
      const membership = resolve('membership')
      const admission = createAdmission({
        clock,
        metrics,
        countSlots: () => 0,
        countEqualPart: (service) => registry.list(service).reduce((sum, { slots }) => sum + slots, 0) / Math.max(1, membership.liveMembers().length)
      }, { ...defaultAdmissionOptions, order: 'priority', pollIntervalMs: POLL_INTERVAL_MS, maximumQueuedBytes: MAXIMUM_QUEUED_BYTES })
      const exchange = resolve('heartbeatExchange')
      exchange.addContributor(createUsageContributor(clock, admission.api))
      exchange.addListener(({ member, accountUsage }) => { if (accountUsage !== undefined) admission.api.mergeUsage(member.nodeId, accountUsage) })
      return admission
    }
  })
}
