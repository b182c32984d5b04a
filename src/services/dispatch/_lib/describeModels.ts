/** Builds the answer to `GET /v1/models`. */
import type { CallerAnswer } from '../../../types/index.js'
import type { ConfigurationIndex } from './indexConfiguration.js'

export const describeModels = ({ configuration, routesByModel }: ConfigurationIndex): CallerAnswer => {
  const created = Math.floor(configuration.appliedAt / 1_000)
  const data = [...routesByModel.values()].map((route) => ({ id: route.model, object: 'model', created, owned_by: route.service }))
  return {
    kind: 'whole',
    status: 200,
    headers: { 'content-type': 'application/json' },
    body: Buffer.from(JSON.stringify({ object: 'list', data }))
  }
}
