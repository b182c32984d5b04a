import { Writable } from 'node:stream'
import { createLogger, format, transports } from 'winston'
import type { LogFields, Logger } from '../../types/index.js'

export type LoggerOptions = {
  /** Least severe level that is written: `error`, `warn`, `info` or `debug`. */
  readonly level: string
  /** Fields of every line, such as the node's name. */
  readonly fields: LogFields
  /** Where the lines go; standard error by default. */
  readonly stream?: Writable
}

/**
 * Creates a logger that writes one JSON object a line.
 *
 * @param options - Level, fields of every line, and the stream.
 * @returns The logger.
 *
 * @example
 * createWinstonLogger({ level: 'info', fields: { node: 'router-1' } }).info('ready', { generation: 3 })
 */
export const createWinstonLogger = (options: LoggerOptions): Logger => {
  const winston = createLogger({
    level: options.level,
    defaultMeta: options.fields,
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Stream({ stream: options.stream ?? process.stderr })]
  })
  return {
    error: (message, fields) => { winston.error(message, fields) },
    warn: (message, fields) => { winston.warn(message, fields) },
    info: (message, fields) => { winston.info(message, fields) },
    debug: (message, fields) => { winston.debug(message, fields) }
  }
}
