/** Creates small valid sheets that differ in the weight of the first client account. */
import { computeSha256 } from '../../src/kernel/index.js'
import type { Sheet } from '../../src/types/index.js'

export const createSheet = (weight = 1, accounts = 3): Sheet => ({
  clientAccounts: Array.from({ length: accounts }, (_, index) => ({
    name: `account-${index}`,
    weight: index === 0 ? weight : 1,
    keyHashes: [computeSha256(`key ${index}`)]
  })),
  services: [{ name: 'chat', kind: 'model', loadLimit: 1.5, loadTarget: 1.26 }],
  backendServers: [
    { name: 'model-1', service: 'chat', url: 'http://10.0.1.4:8000', availabilityZone: 'venkov-a', slots: 8 },
    { name: 'model-2', service: 'chat', url: 'http://10.0.2.4:8000', availabilityZone: 'venkov-b', slots: 8 }
  ],
  routes: [{ name: 'chat', service: 'chat', model: 'counter-7b', repeatable: true, backendIdempotent: false, deadlineSeconds: 60, priority: 'interactive' }],
  plannedStops: []
})
