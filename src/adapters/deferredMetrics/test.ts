import { expect, test } from 'vitest'
import { createDeferredMetrics } from './index.js'
import { createPromMetrics } from '../promMetrics/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'

test('a scrape includes what was counted before the library was loaded', async () => {
  const metrics = createDeferredMetrics({ load: async () => createPromMetrics(), delayMs: 500, clock: createManualClock(), onFailure: () => {} })
  metrics.count('gateway_prompt_copies')
  metrics.readGauge('gateway_requests_open', () => [{ value: 7 }])
  const text = await (await metrics.open()).render()
  metrics.count('gateway_prompt_copies')
  expect(text).toContain('dotterelspoke_gateway_prompt_copies_total 1')
  expect(text).toContain('dotterelspoke_gateway_requests_open 7')
  expect(await (await metrics.open()).render()).toContain('dotterelspoke_gateway_prompt_copies_total 2')
})
