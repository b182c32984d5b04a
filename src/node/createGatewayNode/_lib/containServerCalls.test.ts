import { expect, test } from 'vitest'
import { containServerCalls } from './containServerCalls.js'
import type { BackendInstance, InstanceClient, PromptCacheSource } from '../../../types/index.js'

const INSTANCE: BackendInstance = { id: 'plain-1', service: 'plain', address: { host: '10.0.0.1', port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0 }

const throwNow = (): never => { throw new TypeError('no such port') }

// Nobody awaits a probe or a read of cached prompts: the rejection ended the process.
test.each([['throws', throwNow], ['rejects', async () => throwNow()]])('a call of a backend server that %s counts as failed', async (_how, fail) => {
  const parts: unknown[] = []
  const client: InstanceClient = { send: throwNow, probe: fail, retain: () => {}, close: () => {} }
  const promptCacheSource: PromptCacheSource = { list: fail }
  const calls = containServerCalls({
    client,
    promptCacheSource,
    logger: { error: (_message, fields) => { parts.push(fields?.reason) } },
    metrics: { count: (_name, labels) => { parts.push(labels?.part) } }
  })
  expect(await calls.client.probe(INSTANCE)).toBe(false)
  expect(await calls.promptCacheSource.list(INSTANCE, () => {})).toMatchObject({ ok: false })
  expect(parts).toEqual(['probe', 'TypeError: no such port', 'promptCache', 'TypeError: no such port'])
})
