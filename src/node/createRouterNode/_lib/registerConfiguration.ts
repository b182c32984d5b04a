/** Registers the configuration in force, which comes from the platform and from peers. */
import { createHash } from 'node:crypto'
import type { Kernel } from '../../../kernel/index.js'
import { createConfiguration } from '../../../services/configuration/index.js'
import type { RouterNodeDependencies, RouterServices } from '../index.js'

const hashContent = (content: string | Uint8Array): string => createHash('sha256').update(content).digest('hex')

/** Registers the configuration service. */
export const registerConfiguration = (kernel: Kernel<RouterServices>, dependencies: RouterNodeDependencies): void => {
  const { settings, clock, random, platform, transport, logger } = dependencies
  kernel.register({
    name: 'configuration',
    dependsOn: ['membership', 'heartbeatExchange'],
    create: (resolve) => createConfiguration({
      platform,
      peerTransport: transport,
      peers: () => resolve('membership').members(),
      onPeerChange: (listener) => resolve('heartbeatExchange').addListener(() => listener()),
      clock,
      random,
      logger,
      hashContent
    }, settings)
  })
}
