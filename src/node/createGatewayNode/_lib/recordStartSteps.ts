/** Marks on the start timeline when the node has the state that it needs to serve. */
import type { StartTimeline } from '../../../types/index.js'
import type { GatewayNode } from '../index.js'

export const recordStartSteps = (timeline: StartTimeline, resolve: GatewayNode['resolve']): void => {
  timeline.mark('asking')
  const registry = resolve('instanceRegistry')
  const membership = resolve('membership')
  resolve('gatewayConfiguration').onChange(() => timeline.mark('configuration'))
  registry.onChange(() => { if (registry.isKnown()) timeline.mark('backendServers') })
  membership.onChange(() => { if (membership.liveMembers().length > 1) timeline.mark('firstPeer') })
  resolve('promptDirectory').onRecovered(() => timeline.mark('promptPlaces'))
}
