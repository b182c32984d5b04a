import { describe, expect, test } from 'vitest'
import { createStartTimeline } from './index.js'

describe('createStartTimeline', () => {
  test('returns time and processor time of each step, in the order of the marks', () => {
    const timeline = createStartTimeline()
    timeline.mark('begun')
    timeline.mark('loaded')
    const fields = timeline.fields()
    expect(Object.keys(fields)).toEqual(['begunMs', 'begunCpuMs', 'loadedMs', 'loadedCpuMs'])
    expect(Number(fields.loadedMs)).toBeGreaterThanOrEqual(Number(fields.begunMs))
  })

  test('keeps the first time of a step', async () => {
    const timeline = createStartTimeline()
    timeline.mark('ready')
    const first = timeline.fields()
    await new Promise((resolve) => { setTimeout(resolve, 20) })
    timeline.mark('ready')
    expect(timeline.fields()).toEqual(first)
  })
})
