/** Logs the entries that can't be decoded, each name once: a server may write its entry every second. */
import type { Logger } from '../../../types/index.js'

export type MalformedEntries = { readonly report: (name: string, problem: string, revision: number) => void }

/** Any program may write entries; further names are logged again when they change. */
const MAXIMUM_NAMES = 1_000
/** Characters of a name or a problem in a log line. */
const MAXIMUM_TEXT_LENGTH = 200

export const createMalformedEntries = (logger: Pick<Logger, 'warn'>): MalformedEntries => {
  const reported = new Set<string>()
  return {
    report: (name, problem, revision) => {
      const shortName = name.slice(0, MAXIMUM_TEXT_LENGTH)
      if (reported.has(shortName)) return
      const [oldest] = reported
      if (reported.size >= MAXIMUM_NAMES && oldest !== undefined) reported.delete(oldest)
      reported.add(shortName)
      logger.warn('backend server entry is malformed', { backendServer: shortName, reason: problem.slice(0, MAXIMUM_TEXT_LENGTH), revision })
    }
  }
}
