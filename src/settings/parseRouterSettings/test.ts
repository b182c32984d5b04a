import { describe, expect, it } from 'vitest'
import { formatEnvironmentVariable, formatFlag, parseRouterSettings } from './index.js'

const createFlags = (overrides: Readonly<Record<string, string>> = {}) => ({
  nodeId: 'router-1',
  availabilityZone: 'venkov-a',
  platformUrl: 'http://127.0.0.1:7000',
  fleetKey: 'a fleet key for tests',
  operatorToken: 'an operator token for tests',
  ...overrides
})

describe('parseRouterSettings', () => {
  it('fills in the defaults', () => {
    const result = parseRouterSettings(createFlags(), {})
    expect(result.ok && result.value.retryShare).toBe(0.1)
  })

  it('prefers a flag over an environment variable', () => {
    const result = parseRouterSettings(createFlags({ callerPort: '1' }), { DOTTERELSPOKE_CALLER_PORT: '2' })
    expect(result.ok && result.value.callerPort).toBe(1)
  })

  it('prefers an environment variable over the default', () => {
    const result = parseRouterSettings(createFlags(), { DOTTERELSPOKE_CALLER_PORT: '2' })
    expect(result.ok && result.value.callerPort).toBe(2)
  })

  it('reports every problem with its flag and variable', () => {
    const result = parseRouterSettings({ callerPort: 'x', heartbeatIntervalMs: '' }, {})
    const flags = result.ok ? [] : result.error.map((problem) => problem.flag)
    expect(flags).toEqual(['--node-id', '--availability-zone', '--caller-port', '--platform-url', '--fleet-key-file', '--operator-token-file', '--heartbeat-interval-ms'])
  })

  it('rejects an environment variable that is not a setting', () => {
    const result = parseRouterSettings(createFlags(), { DOTTERELSPOKE_COLOUR: 'red' })
    expect(result).toEqual({ ok: false, error: [{ flag: '', environmentVariable: 'DOTTERELSPOKE_COLOUR', message: 'is not a setting' }] })
  })

  it.each(['OPERATOR', 'ROUTER_URLS', 'ACCOUNT_KEYS'])('ignores DOTTERELSPOKE_%s, which operator commands read', (name) => {
    expect(parseRouterSettings(createFlags(), { [`DOTTERELSPOKE_${name}`]: 'any' }).ok).toBe(true)
  })

  it.each([['-1'], ['65536'], ['1.5'], ['80 80'], ['0x']])('rejects %s as a port', (callerPort) => {
    expect(parseRouterSettings(createFlags({ callerPort }), {}).ok).toBe(false)
  })

  it('rejects deadAfterMs unless it is greater than suspectAfterMs', () => {
    expect(parseRouterSettings(createFlags({ suspectAfterMs: '2000', deadAfterMs: '2000' }), {}).ok).toBe(false)
  })

  it('parses a list of peers', () => {
    const result = parseRouterSettings(createFlags({ seedPeers: '127.0.0.1:1, 127.0.0.1:2' }), {})
    expect(result.ok && result.value.seedPeers).toEqual([{ host: '127.0.0.1', port: 1 }, { host: '127.0.0.1', port: 2 }])
  })

  it('rejects a list of peers without ports', () => {
    expect(parseRouterSettings(createFlags({ seedPeers: 'host' }), {}).ok).toBe(false)
  })

  it('derives flag and variable names from the setting name', () => {
    expect([formatFlag('nodeId'), formatEnvironmentVariable('nodeId')]).toEqual(['--node-id', 'DOTTERELSPOKE_NODE_ID'])
  })
})
