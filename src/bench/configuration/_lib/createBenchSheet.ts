/** Creates configuration sheets with the given number of client accounts, and the 600 backend servers and 33 models of the largest fleet that the system is designed for. */
import { computeSha256 } from '../../../kernel/index.js'
import type { Sheet } from '../../../types/index.js'

const SERVERS = 600
const MODELS = 33
const ZONES = 8

export const createBenchSheet = (accounts: number, firstAccountWeight = 1): Sheet => ({
  clientAccounts: Array.from({ length: accounts }, (_, index) => ({
    name: `client-account-${index}`,
    weight: index === 0 ? firstAccountWeight : 1,
    keyHashes: [computeSha256(`key ${index}`)]
  })),
  services: [{ name: 'models', kind: 'model', loadLimit: 1.5, loadTarget: 1.26 }],
  backendServers: Array.from({ length: SERVERS }, (_, index) => ({
    name: `model-server-${index}`,
    service: 'models',
    url: `http://10.${index % ZONES}.${Math.floor(index / 250)}.${index % 250}:8000`,
    availabilityZone: `zone-${index % ZONES}`,
    slots: 16
  })),
  routes: Array.from({ length: MODELS }, (_, index) => ({
    name: `chat-${index}`,
    service: 'models',
    model: `model-${index}`,
    repeatable: true,
    backendIdempotent: false,
    deadlineSeconds: 60,
    priority: 'interactive' as const
  })),
  plannedStops: []
})
