import { expect, test } from 'vitest'
import { createDialect } from '../../platform/createDialect/index.js'
import { createPromptCacheSource } from '../../platform/createPromptCacheSource/index.js'
import { startGateway, type GatewayOptions } from '../../src/daemon/startGateway/index.js'
import { composeGatewaySettings } from '../../src/emulator/composeGatewaySettings/index.js'
import { failure } from '../../src/kernel/index.js'

// The handler was handed over after the start: an exception while peers were served already ended the process.
test('an exception during the start of the node finds the handler that goes on', async () => {
  const lines: string[] = []
  const log = (message: string): void => { lines.push(message) }
  let handle: Parameters<NonNullable<GatewayOptions['onExceptionHandler']>>[0] | undefined
  const away = failure({ kind: 'unavailable' as const, message: 'away' })
  const read = async (): Promise<typeof away> => {
    handle?.({ cause: 'uncaughtException', error: new Error('unexpected') })
    lines.push('read')
    return away
  }
  const gateway = await startGateway({
    settings: composeGatewaySettings('node-1', { seedPeers: [] }),
    logger: { error: log, warn: log, info: log, debug: log },
    dialect: createDialect(),
    configurationSource: { read, decode: () => away },
    instanceSource: { list: async () => away, watch: async () => away },
    promptCacheSource: createPromptCacheSource(),
    readinessPath: '/readyz',
    onExceptionHandler: (next) => { handle = next }
  })
  await gateway.kill()
  const first = lines.indexOf('read')
  expect(first).toBeGreaterThanOrEqual(0)
  expect(lines.slice(0, first)).toContain('exception not caught')
})
