import { describe, expect, it } from 'vitest'
import { evaluateRollout, type RouterAnswer, type RouterReport } from './index.js'
import type { Member, Vm } from '../../types/index.js'

const createMember = (index: number, changes: Partial<Member> = {}): Member => ({
  nodeId: `router-${index}`, incarnation: 1, address: { host: `10.0.0.${index}`, port: 7000 }, availabilityZone: 'venkov-a', state: 'live', generation: 3, ...changes
})

const createAnswer = (index: number, changes: Partial<RouterReport> = {}): RouterAnswer => ({
  kind: 'answered', url: `http://10.0.0.${index}:9000`, report: { nodeId: `router-${index}`, availabilityZone: 'venkov-a', generation: 3, members: [createMember(index)], ...changes }
})

const createVm = (index: number): Vm => ({ name: `vm-${index}`, kind: 'router', address: `10.0.0.${index}:7000`, availabilityZone: 'venkov-a', state: 'live' })

describe('evaluateRollout', () => {
  it('confirms nothing when no router answered', () => {
    const rollout = evaluateRollout(3, [{ kind: 'unreachable', url: 'http://10.0.0.1:9000', message: 'no answer in time' }], [])
    expect(rollout).toMatchObject({ isInForceEverywhere: false, nodes: [{ node: 'http://10.0.0.1:9000', state: 'unconfirmed' }] })
    expect(evaluateRollout(3, [], undefined).isInForceEverywhere).toBe(false)
  })

  it('confirms a generation that every router has', () => {
    expect(evaluateRollout(3, [createAnswer(1), createAnswer(2, { generation: 4 })], undefined).isInForceEverywhere).toBe(true)
  })

  it.each<[string, Partial<Member>, readonly Vm[] | undefined, string, boolean]>([
    ['a live peer that reported the generation', {}, undefined, 'reported', true],
    ['a live peer with an older generation', { generation: 2 }, undefined, 'behind', false],
    ['a suspected peer', { state: 'suspect' }, undefined, 'unconfirmed', false],
    ['a dead peer while the VM list is not known', { state: 'dead' }, undefined, 'unconfirmed', false],
    ['a dead peer that is still in the VM list, as in a partitioned zone', { state: 'dead' }, [createVm(1), createVm(2)], 'unconfirmed', false],
    ['a dead peer whose VM is no longer listed', { state: 'dead' }, [createVm(1)], 'gone', true]
  ])('evaluates a router that was not queried: %s', (_, changes, vms, state, isInForceEverywhere) => {
    const rollout = evaluateRollout(3, [createAnswer(1, { members: [createMember(1), createMember(2, changes)] })], vms)
    expect(rollout.nodes[1]).toMatchObject({ node: 'router-2', state })
    expect(rollout.isInForceEverywhere).toBe(isInForceEverywhere)
  })

  it('reports why a router is behind', () => {
    const rollout = evaluateRollout(3, [createAnswer(1, { generation: 2, pending: { generation: 3, reason: 'platform: unavailable' } })], undefined)
    expect(rollout.nodes[0]).toMatchObject({ state: 'behind', generation: 2, detail: 'platform: unavailable' })
  })

  it('does not confirm while the VM list contains a router that no router knows', () => {
    expect(evaluateRollout(3, [createAnswer(1)], [createVm(1), createVm(9)])).toMatchObject({ isInForceEverywhere: false })
  })

  // A generation from before a router's restart would confirm a configuration that it no longer has.
  it('prefers the later incarnation of a restarted router', () => {
    const before = createMember(2, { generation: 3 })
    const after = createMember(2, { incarnation: 2, generation: 0 })
    const rollout = evaluateRollout(3, [createAnswer(1, { members: [after] }), createAnswer(3, { members: [before] })], undefined)
    expect(rollout.nodes.find(({ node }) => node === 'router-2')).toMatchObject({ state: 'behind', generation: 0 })
  })
})
