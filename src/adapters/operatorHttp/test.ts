import { afterEach, describe, expect, it } from 'vitest'
import type { NodeStatus } from '../../types/index.js'
import { createOperatorHttp, type OperatorHttp } from './index.js'

const createStatus = (overrides: Partial<NodeStatus> = {}): NodeStatus => ({
  nodeId: 'router-1',
  availabilityZone: 'venkov-a',
  region: 'cz-venkov',
  version: '0.1.0',
  ready: true,
  generation: 4,
  members: [],
  backendServers: [],
  ledger: { accepted: 0, complete: 0, refused: 0, unknown: 0, open: 0 },
  accountUsage: [],
  ...overrides
})

let server: OperatorHttp | undefined

const startServer = async (status: Partial<NodeStatus> = {}): Promise<string> => {
  server = createOperatorHttp({
    host: '127.0.0.1',
    port: 0,
    operatorToken: 'a token for operators',
    readStatus: () => createStatus(status),
    renderMetrics: async () => 'dotterelspoke_requests_accepted_total 0\n',
    metricsContentType: 'text/plain'
  })
  return server.listen()
}

afterEach(() => server?.close())

describe('createOperatorHttp', () => {
  it('reports that it is ready', async () => {
    const response = await fetch(`${await startServer()}/readyz`)
    expect(response.status).toBe(200)
  })

  it('reports that it is not ready', async () => {
    const response = await fetch(`${await startServer({ ready: false })}/readyz`)
    expect(response.status).toBe(503)
  })

  it('returns the status to a caller with the token', async () => {
    const response = await fetch(`${await startServer()}/status`, { headers: { authorization: 'Bearer a token for operators' } })
    expect(await response.json()).toEqual(createStatus())
  })

  it.each([[undefined], ['Bearer wrong'], ['a token for operators'], ['Basic a token for operators']])('refuses the status to a caller with %s', async (authorization) => {
    const headers: Record<string, string> = authorization === undefined ? {} : { authorization }
    const response = await fetch(`${await startServer()}/status`, { headers })
    expect(response.status).toBe(401)
  })

  it('returns the metrics without a token', async () => {
    const response = await fetch(`${await startServer()}/metrics`)
    expect(await response.text()).toContain('dotterelspoke_requests_accepted_total')
  })
})
