import type { Metrics, Platform, PlatformError, Result } from '../../types/index.js'

/**
 * Counts the calls to the platform by kind and outcome. The platform limits the
 * rate of calls; a waiting watch counts as one call.
 *
 * @param platform - The platform to call.
 * @param metrics - Where the calls are counted.
 * @returns A platform that passes its calls to the given one and counts them.
 *
 * @example
 * const platform = countPlatformCalls(createPlatformHttp({ url, timeoutMs: 1000 }), metrics)
 */
export const countPlatformCalls = (platform: Platform, metrics: Metrics): Platform => {
  const counted = async <Value>(call: string, reply: Promise<Result<Value, PlatformError>>): Promise<Result<Value, PlatformError>> => {
    const result = await reply
    metrics.count('platform_calls', { call, outcome: result.ok ? 'ok' : result.error.kind })
    return result
  }
  return {
    readObject: (name) => counted('read', platform.readObject(name)),
    createObject: (name, bytes) => counted('create', platform.createObject(name, bytes)),
    updateObject: (name, bytes, expected) => counted('update', platform.updateObject(name, bytes, expected)),
    deleteObject: (name, expected) => counted('delete', platform.deleteObject(name, expected)),
    listObjects: (prefix, options) => counted('list', platform.listObjects(prefix, options)),
    watchObjects: (prefix, revision, timeoutMs) => counted('watch', platform.watchObjects(prefix, revision, timeoutMs)),
    listVms: () => counted('vms', platform.listVms()),
    close: () => platform.close()
  }
}
