import { expect, test } from 'vitest'
import { createBeginWaits } from './createBeginWaits.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import type { BackendInstance } from '../../../types/index.js'

const createServer = (id: string, changes: Partial<BackendInstance> = {}): BackendInstance =>
  ({ id, service: 'engines', address: { host: id, port: 1 }, availabilityZone: 'a', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0, ...changes })

const create = () => {
  const clock = createManualClock()
  let list: readonly BackendInstance[] = []
  const waits = createBeginWaits({ clock, listInstances: () => list })
  const setList = (next: readonly BackendInstance[]): void => {
    list = next
    waits.update()
  }
  return { clock, waits, setList }
}

test('holds streams only while a service has servers and none of them is registered', async () => {
  const { waits, setList } = create()
  setList([createServer('a', { isUnregistered: true }), createServer('b', { isUnregistered: true, service: 'other' }), createServer('c', { service: 'other' })])
  expect([waits.wait('engines') === undefined, waits.wait('other'), waits.wait('none')]).toEqual([false, undefined, undefined])
  const waiting = waits.wait('engines')
  setList([createServer('a')])
  await waiting
  expect(waits.wait('engines')).toBeUndefined()
})

// A register that can't be written for hours would hold every stream up before it is refused.
test('holds no stream any more once that has lasted for long', async () => {
  const { clock, waits, setList } = create()
  setList([createServer('a', { isUnregistered: true })])
  const waiting = waits.wait('engines')
  await clock.advanceAndSettle(1_500)
  await waiting
  setList([createServer('a', { isUnregistered: true }), createServer('b', { isUnregistered: true })])
  expect(waits.wait('engines')).toBeUndefined()
})
