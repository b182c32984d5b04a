/** A platform seen over a bad link: calls refused, replies lost, writes that arrive late, callers paused. */
import { failure } from '../../src/kernel/index.js'
import type { Platform, PlatformError, Result } from '../../src/types/index.js'

export type CallFault =
  | 'none'
  /** Refused; surely without effect. */
  | 'refused'
  /** The call takes effect, its reply is lost. */
  | 'replyLost'
  /** The caller is told that the outcome is unknown; the call takes effect when `deliverLate` is called. */
  | 'late'
  /** The call waits until `resume`, then goes on as if nothing had happened. */
  | 'paused'

export type FaultyPlatform = Platform & {
  /** Chooses the fault of each call from now on; may do something first, such as another operator's write. */
  readonly setFault: (choose: (call: string, name: string) => CallFault | Promise<CallFault>) => void
  readonly resume: () => void
  readonly deliverLate: () => Promise<void>
  /** Calls that wait for `resume`. */
  readonly pausedCalls: () => number
  /** The kind of every call so far, in order. */
  readonly calls: () => readonly string[]
}

type Call<Value> = () => Promise<Result<Value, PlatformError>>

export const createFaultyPlatform = (platform: Platform): FaultyPlatform => {
  let chooseFault: (call: string, name: string) => CallFault | Promise<CallFault> = () => 'none'
  const calls: string[] = []
  let paused: (() => void)[] = []
  let late: Call<unknown>[] = []

  const pass = async <Value>(kind: string, name: string, isWrite: boolean, call: Call<Value>): Promise<Result<Value, PlatformError>> => {
    const lost = failure<PlatformError>(isWrite ? { kind: 'outcomeUnknown', message: 'reply lost' } : { kind: 'unavailable', message: 'reply lost' })
    const faults: Readonly<Record<CallFault, Call<Value>>> = {
      none: call,
      refused: async () => failure({ kind: 'unavailable', message: 'refused' }),
      replyLost: async () => {
        await call()
        return lost
      },
      late: async () => {
        late.push(call)
        return lost
      },
      paused: async () => {
        await new Promise<void>((resolve) => { paused.push(resolve) })
        return await call()
      }
    }
    calls.push(kind)
    return await faults[await chooseFault(kind, name)]()
  }

  return {
    ...platform,
    readObject: (name) => pass('read', name, false, () => platform.readObject(name)),
    createObject: (name, bytes) => pass('create', name, true, () => platform.createObject(name, bytes)),
    updateObject: (name, bytes, expected) => pass('update', name, true, () => platform.updateObject(name, bytes, expected)),
    deleteObject: (name, expected) => pass('delete', name, true, () => platform.deleteObject(name, expected)),
    listObjects: (prefix, options) => pass('list', prefix, false, () => platform.listObjects(prefix, options)),
    watchObjects: (prefix, revision, timeoutMs) => pass('watch', prefix, false, () => platform.watchObjects(prefix, revision, timeoutMs)),
    setFault: (choose) => { chooseFault = choose },
    resume: () => {
      const resumed = paused
      paused = []
      for (const go of resumed) go()
    },
    deliverLate: async () => {
      const delivered = late
      late = []
      for (const call of delivered) await call()
    },
    pausedCalls: () => paused.length,
    calls: () => calls
  }
}
