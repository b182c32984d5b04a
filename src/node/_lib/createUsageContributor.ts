import type { HeartbeatContributor } from '../../services/heartbeatExchange/index.js'
import type { Admission, Clock } from '../../types/index.js'

/** Usage decays over seconds, so it does not need to be part of every heartbeat. */
const USAGE_INTERVAL_MS = 2_000

/** Adds the accounts with the highest usage to heartbeats, at most every two seconds per receiver. */
export const createUsageContributor = (clock: Clock, admission: Pick<Admission, 'usage'>): HeartbeatContributor => {
  const sentAt = new Map<string, number>()
  return (receiver) => {
    const now = clock.now()
    const last = sentAt.get(receiver.nodeId)
    if (last !== undefined && now - last < USAGE_INTERVAL_MS) return {}
    const accountUsage = admission.usage()
    if (accountUsage.length === 0) return {}
    sentAt.set(receiver.nodeId, now)
    return { accountUsage }
  }
}
