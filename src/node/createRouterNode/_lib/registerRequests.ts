/** Registers the request path: admission, claims of idempotency keys, and dispatch. */
import { countSlotsForNode } from './countSlotsForNode.js'
import { createUsageContributor } from '../../_lib/createUsageContributor.js'
import type { Kernel } from '../../../kernel/index.js'
import { createAdmission, defaultAdmissionOptions } from '../../../services/admission/index.js'
import { createClaims } from '../../../services/claims/index.js'
import { createDispatch } from '../../../services/dispatch/index.js'
import type { RouterNodeDependencies, RouterServices } from '../index.js'

const CLAIM_OUTAGE_PAUSE_MS = 1_000
const CLAIM_BATCHES_PER_SNAPSHOT = 256

const registerAdmission = (kernel: Kernel<RouterServices>, { settings, clock, metrics }: RouterNodeDependencies): void => {
  kernel.register({
    name: 'admission',
    dependsOn: ['configuration', 'loadView', 'backendHealth', 'heartbeatExchange'],
    create: (resolve) => {
      const sources = { configuration: resolve('configuration'), backendHealth: resolve('backendHealth'), loadView: resolve('loadView') }
      const admission = createAdmission({
        clock,
        metrics,
        configuration: sources.configuration,
        countSlots: (service) => countSlotsForNode(service, sources)
      }, { ...defaultAdmissionOptions, maximumQueued: settings.maximumQueueLength })
      const exchange = resolve('heartbeatExchange')
      exchange.addContributor(createUsageContributor(clock, admission.api))
      exchange.addListener(({ member, accountUsage }) => { if (accountUsage !== undefined) admission.api.mergeUsage(member.nodeId, accountUsage) })
      return admission
    }
  })
}

const registerClaims = (kernel: Kernel<RouterServices>, { settings, clock, random, platform, transport, logger, metrics }: RouterNodeDependencies): void => {
  kernel.register({
    name: 'claims',
    dependsOn: ['membership'],
    create: (resolve) => createClaims({
      clock,
      random,
      platform,
      transport,
      membership: resolve('membership'),
      logger,
      metrics,
      options: {
        shards: settings.claimShards,
        flushIntervalMs: settings.claimFlushIntervalMs,
        retentionMs: settings.claimRetentionMs,
        peerTimeoutMs: settings.peerTimeoutMs,
        maximumAnswerBytes: settings.maximumAnswerBytes,
        outagePauseMs: CLAIM_OUTAGE_PAUSE_MS,
        pruneEvery: CLAIM_BATCHES_PER_SNAPSHOT
      }
    })
  })
}

const registerDispatch = (kernel: Kernel<RouterServices>, { settings, clock, random, backendClient, logger, metrics }: RouterNodeDependencies): void => {
  kernel.register({
    name: 'dispatch',
    dependsOn: ['configuration', 'admission', 'claims', 'placement', 'loadView', 'backendHealth', 'chatDirectory'],
    create: (resolve) => createDispatch({
      clock,
      random,
      logger,
      metrics,
      backendClient,
      configuration: resolve('configuration'),
      admission: resolve('admission'),
      claims: resolve('claims'),
      placement: resolve('placement'),
      loadView: resolve('loadView'),
      backendHealth: resolve('backendHealth'),
      chatDirectory: resolve('chatDirectory')
    }, { fleetKey: settings.fleetKey, retryShare: settings.retryShare, maximumAttempts: settings.maximumAttempts })
  })
}

/** Registers the services of the request path. */
export const registerRequests = (kernel: Kernel<RouterServices>, dependencies: RouterNodeDependencies): void => {
  registerAdmission(kernel, dependencies)
  registerClaims(kernel, dependencies)
  registerDispatch(kernel, dependencies)
}
