/**
 * A logger whose library is loaded after the start, so that a restarted node on a
 * small VM spends its first processor time on the callers that wait for it. Buffered
 * lines keep their timestamps; they are lost when the process is killed before.
 */
import { createDeferredCalls } from '../../kernel/index.js'
import type { DeferredCallsOptions } from '../../kernel/index.js'
import type { LogFields, Logger } from '../../types/index.js'

export type DeferredLogger = Logger & {
  /** Loads the logger now and resolves when the lines buffered so far are written. */
  readonly open: () => Promise<Logger>
}

type Level = keyof Logger

/**
 * Creates the logger.
 *
 * @param options - How and when to load the logger behind it.
 * @returns The logger; its lines are buffered until then.
 *
 * @example
 * createDeferredLogger({ load, delayMs: 500, clock, onFailure }).info('gateway started')
 */
export const createDeferredLogger = (options: DeferredCallsOptions<Logger>): DeferredLogger => {
  let opened: Logger | undefined
  const calls = createDeferredCalls<Logger>({
    ...options,
    load: async () => {
      opened = await options.load()
      return opened
    }
  })

  const write = (level: Level) => (message: string, fields?: LogFields): void => {
    if (opened !== undefined) return calls.run((logger) => logger[level](message, fields))
    const timestamp = new Date().toISOString()
    calls.run((logger) => logger[level](message, { timestamp, ...fields }))
  }

  return { error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug'), open: calls.open }
}
