/** A platform in front of another one that fails as a test tells it to. */
import { failure } from '../../src/kernel/index.js'
import type { Platform, PlatformError, Result } from '../../src/types/index.js'

/** `lostAfter` loses the reply of a write that took effect, `lostBefore` the write itself. */
export type PlatformFault = 'none' | 'unavailable' | 'lostBefore' | 'lostAfter' | 'hang'

export type PlatformCall = { readonly operation: keyof Platform, readonly name: string }

export type InterruptedPlatform = Platform & {
  /** Decides each call's fault; may do something first, such as another operator's write. */
  readonly setFaults: (choose: (call: PlatformCall) => PlatformFault | Promise<PlatformFault>) => void
  readonly calls: () => readonly PlatformCall[]
}

const lost = { kind: 'outcomeUnknown', message: 'the reply was lost' } as const
const unavailable = { kind: 'unavailable', message: 'the platform is down' } as const

export const createInterruptedPlatform = (inner: Platform): InterruptedPlatform => {
  let choose: (call: PlatformCall) => PlatformFault | Promise<PlatformFault> = () => 'none'
  const calls: PlatformCall[] = []

  const run = async <Value>(operation: keyof Platform, name: string, call: () => Promise<Result<Value, PlatformError>>): Promise<Result<Value, PlatformError>> => {
    calls.push({ operation, name })
    const fault = await choose({ operation, name })
    if (fault === 'hang') return new Promise(() => {})
    if (fault === 'unavailable') return failure(unavailable)
    if (fault === 'lostBefore') return failure(lost)
    const result = await call()
    return fault === 'lostAfter' ? failure(lost) : result
  }

  return {
    readObject: (name) => run('readObject', name, () => inner.readObject(name)),
    createObject: (name, bytes) => run('createObject', name, () => inner.createObject(name, bytes)),
    updateObject: (name, bytes, expected) => run('updateObject', name, () => inner.updateObject(name, bytes, expected)),
    deleteObject: (name, expected) => run('deleteObject', name, () => inner.deleteObject(name, expected)),
    listObjects: (prefix, options) => run('listObjects', prefix, () => inner.listObjects(prefix, options)),
    watchObjects: (prefix, revision, timeoutMs) => run('watchObjects', prefix, () => inner.watchObjects(prefix, revision, timeoutMs)),
    listVms: () => run('listVms', '', () => inner.listVms()),
    close: async () => {},
    setFaults: (next) => { choose = next },
    calls: () => calls
  }
}
