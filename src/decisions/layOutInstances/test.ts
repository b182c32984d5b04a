import { describe, expect, test } from 'vitest'
import { layOutInstances } from './index.js'
import type { BackendInstance } from '../../types/index.js'

const createInstance = (id: string, incarnation = 1): BackendInstance =>
  ({ id, service: 'engines', address: { host: id, port: 1 }, availabilityZone: 'venkov-a', slots: 8, isLeaving: false, incarnation, warmUpMs: 0 })

describe('layOutInstances', () => {
  test('is alike for the same servers in another order', () => {
    expect(layOutInstances([createInstance('b'), createInstance('a')])).toEqual(layOutInstances([createInstance('a'), createInstance('b')]))
  })

  test.each([
    ['another server', [createInstance('a'), createInstance('c')]],
    ['a server less', [createInstance('a')]],
    ['a server that started anew', [createInstance('a'), createInstance('b', 2)]]
  ])('has another generation for %s', (_name, others) => {
    expect(layOutInstances(others).generation).not.toBe(layOutInstances([createInstance('a'), createInstance('b')]).generation)
  })

  test('keeps its generation when a server starts to leave', () => {
    expect(layOutInstances([{ ...createInstance('a'), isLeaving: true }]).generation).toBe(layOutInstances([createInstance('a')]).generation)
  })
})
