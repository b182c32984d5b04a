/** Registers the bound on what the node holds for callers. It applies where the VM's memory is known. */
import { computeHeldLimits } from '../../../decisions/boundHeldBytes/index.js'
import { createHeldBytes } from '../../../services/heldBytes/index.js'
import type { Kernel } from '../../../kernel/index.js'
import type { GatewayNodeDependencies, GatewayServices } from '../index.js'

/** Registers the service. */
export const registerHeldBytes = (kernel: Kernel<GatewayServices>, { settings, clock, logger, metrics }: GatewayNodeDependencies): void => {
  const { memoryMb } = settings
  const limits = memoryMb === undefined ? undefined : computeHeldLimits(memoryMb)
  kernel.register({ name: 'heldBytes', dependsOn: [], create: () => createHeldBytes({ clock, logger, metrics }, limits) })
}
