/** Checks the reply of a peer, which may run another build, before any of it is applied: an exception halfway would leave the state half changed. */
import type { PeerReply } from '../../../types/index.js'

type Knowledge = Extract<PeerReply, { readonly kind: 'knowledge' }>

type Fields = Readonly<Record<string, unknown>>

const isNumber = (value: unknown): boolean => typeof value === 'number' && !Number.isNaN(value)
const isOptionalNumber = (value: unknown): boolean => value === undefined || isNumber(value)
const isText = (value: unknown): boolean => typeof value === 'string'
const isObject = (value: unknown): value is Fields => typeof value === 'object' && value !== null
const isListOf = (isItem: (item: unknown) => boolean) => (value: unknown): boolean => Array.isArray(value) && value.every(isItem)

const isInstance = (value: unknown): boolean =>
  isObject(value) && isText(value['id']) && isText(value['service']) && isText(value['availabilityZone']) && isNumber(value['slots']) && isNumber(value['incarnation']) && isNumber(value['warmUpMs']) && typeof value['isLeaving'] === 'boolean'

const isUpdate = (value: unknown): boolean =>
  isObject(value) && isListOf(isInstance)(value['instances']) && isListOf(isText)(value['removed']) &&
  isObject(value['position']) && isNumber(value['position']['origin']) && isNumber(value['position']['sequence'])

const isDrains = (value: unknown): boolean =>
  value === undefined || (isObject(value) && isNumber(value['revision']) && isListOf(isText)(value['zones']))

const CHECKS: Readonly<Record<string, (value: unknown) => boolean>> = {
  version: isNumber,
  ageMs: isNumber,
  revision: isNumber,
  instances: isUpdate,
  zoneDrains: isDrains,
  instancesLostMs: isOptionalNumber,
  zoneDrainsLostMs: isOptionalNumber,
  sourceAnsweredForMs: isOptionalNumber,
  configuration: (value) => value === undefined || isObject(value)
}

/** Returns which field of the reply can't be used; `undefined` when all can. */
export const describeProblem = (reply: Knowledge): string | undefined => {
  const field = Object.keys(CHECKS).find((name) => CHECKS[name]?.((reply as Fields)[name]) === false)
  return field === undefined ? undefined : `${field} is malformed`
}
