/** Wraps a platform and injects faults into its calls: refused calls, lost replies, late writes, paused callers. */
import { failure } from '../../src/kernel/index.js'
import type { Platform, PlatformError, Result } from '../../src/types/index.js'

export type CallFault =
  | 'none'
  /** The call is refused and has no effect. */
  | 'refused'
  /** The call takes effect, but its reply is lost. */
  | 'replyLost'
  /** The caller gets an unknown outcome; the call takes effect when `deliverLate` is called. */
  | 'late'
  /** The call waits until `resume` is called, then proceeds normally. */
  | 'paused'

export type FaultyPlatform = Platform & {
  /** Sets the function that selects the fault of each later call; it may act first, such as to write as another operator. */
  readonly setFault: (choose: (call: string, name: string) => CallFault | Promise<CallFault>) => void
  readonly resume: () => void
  readonly deliverLate: () => Promise<void>
  /** Calls that wait for `resume`. */
  readonly pausedCalls: () => number
  /** Kinds of all calls so far, in order. */
  readonly calls: () => readonly string[]
}

type Call<Value> = () => Promise<Result<Value, PlatformError>>

export const createFaultyPlatform = (platform: Platform): FaultyPlatform => {
  let chooseFault: (call: string, name: string) => CallFault | Promise<CallFault> = () => 'none'
  const calls: string[] = []
  let paused: (() => void)[] = []
  let late: Call<unknown>[] = []

  const callWithFault = async <Value>(kind: string, name: string, isWrite: boolean, call: Call<Value>): Promise<Result<Value, PlatformError>> => {
    const lostReply = failure<PlatformError>(isWrite ? { kind: 'outcomeUnknown', message: 'reply lost' } : { kind: 'unavailable', message: 'reply lost' })
    const faults: Readonly<Record<CallFault, Call<Value>>> = {
      none: call,
      refused: async () => failure({ kind: 'unavailable', message: 'refused' }),
      replyLost: async () => {
        await call()
        return lostReply
      },
      late: async () => {
        late.push(call)
        return lostReply
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
    readObject: (name) => callWithFault('read', name, false, () => platform.readObject(name)),
    createObject: (name, bytes) => callWithFault('create', name, true, () => platform.createObject(name, bytes)),
    updateObject: (name, bytes, expected) => callWithFault('update', name, true, () => platform.updateObject(name, bytes, expected)),
    deleteObject: (name, expected) => callWithFault('delete', name, true, () => platform.deleteObject(name, expected)),
    listObjects: (prefix, options) => callWithFault('list', prefix, false, () => platform.listObjects(prefix, options)),
    watchObjects: (prefix, revision, timeoutMs) => callWithFault('watch', prefix, false, () => platform.watchObjects(prefix, revision, timeoutMs)),
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
