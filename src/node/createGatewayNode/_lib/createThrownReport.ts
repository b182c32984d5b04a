/** Logs and counts what a part of the node throws that goes on with its next step. */
import { describeError } from '../../../kernel/index.js'
import type { ThrownReport } from '../../../services/_lib/containStep.js'
import type { Logger, Metrics } from '../../../types/index.js'

/** Creates the report of one part; a read that failed is logged by its reader, and only counted here. */
export const createThrownReport = ({ logger, metrics }: { readonly logger: Pick<Logger, 'error'>, readonly metrics: Pick<Metrics, 'count'> }, part: string): ThrownReport => (error) => {
  metrics.count('contained_errors', { part })
  if (error !== undefined) logger.error('step failed', { part, reason: describeError(error) })
}
