import { describe, expect, it } from 'vitest'
import { createKernel } from './index.js'

type Letters = { readonly a: string, readonly b: string }

const createRecordedKernel = () => {
  const events: string[] = []
  const kernel = createKernel<Letters>()
  const define = (name: keyof Letters, dependsOn: readonly (keyof Letters)[]) => {
    kernel.register({
      name,
      dependsOn,
      create: () => ({ api: name.toUpperCase(), start: () => { events.push(`start ${name}`) }, stop: () => { events.push(`stop ${name}`) } })
    })
  }
  return { kernel, events, define }
}

describe('createKernel', () => {
  it('starts in the order of dependencies and stops in reverse', async () => {
    const { kernel, events, define } = createRecordedKernel()
    define('b', ['a'])
    define('a', [])
    await kernel.start()
    await kernel.stop()
    expect(events).toEqual(['start a', 'start b', 'stop b', 'stop a'])
  })

  it('stops only once', async () => {
    const { kernel, events, define } = createRecordedKernel()
    define('a', [])
    await kernel.start()
    await Promise.all([kernel.stop(), kernel.stop()])
    expect(events).toEqual(['start a', 'stop a'])
  })

  it('finds a service by name', async () => {
    const { kernel, define } = createRecordedKernel()
    define('a', [])
    await kernel.start()
    expect(kernel.resolve('a')).toBe('A')
  })

  it('rejects a name that is registered twice', () => {
    const { define } = createRecordedKernel()
    define('a', [])
    expect(() => define('a', [])).toThrow(/twice/)
  })

  it('rejects a dependency that is not registered', async () => {
    const { kernel, define } = createRecordedKernel()
    define('a', ['b'])
    await expect(kernel.start()).rejects.toThrow(/not registered/)
  })

  it('rejects a circle of dependencies', async () => {
    const { kernel, define } = createRecordedKernel()
    define('a', ['b'])
    define('b', ['a'])
    await expect(kernel.start()).rejects.toThrow(/circle/)
  })
})
