/** Keeps an error in a call to one backend server, which no request waits for, from ending the process: the call counts as failed. */
import { describeError, failure } from '../../../kernel/index.js'
import type { BackendInstance, InstanceClient, Logger, Metrics, PromptCacheSource } from '../../../types/index.js'

export type ServerCalls = { readonly client: InstanceClient, readonly promptCacheSource: PromptCacheSource }

/** Returns the same calls, of which probes and reads of cached prompts never reject. */
export const containServerCalls = <Calls extends ServerCalls & { readonly logger: Pick<Logger, 'error'>, readonly metrics: Pick<Metrics, 'count'> }>(calls: Calls): Calls => {
  const { client, promptCacheSource, logger, metrics } = calls

  const contain = async <Value>(call: string, { id }: BackendInstance, run: () => Promise<Value>, toFailed: (reason: string) => Value): Promise<Value> => {
    try {
      return await run()
    } catch (error) {
      const reason = describeError(error)
      metrics.count('contained_errors', { part: call })
      logger.error('call of a backend server failed', { backendServer: id, call, reason })
      return toFailed(reason)
    }
  }

  return {
    ...calls,
    client: { ...client, probe: (instance) => contain('probe', instance, () => client.probe(instance), () => false) },
    promptCacheSource: {
      list: (instance, onNotice) => contain('promptCache', instance, () => promptCacheSource.list(instance, onNotice), (message) => failure({ kind: 'malformed', message }))
    }
  }
}
