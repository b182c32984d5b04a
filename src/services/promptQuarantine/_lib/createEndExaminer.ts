/**
 * Examines the ends of a service's servers at a holder: asks the peers which of the prompt
 * parts that ran there were in an answer in order since, and concludes which part is to blame.
 */
import { askForSoundParts } from './askForSoundParts.js'
import type { EndRecord } from './createEndRecord.js'
import type { QuarantineEntry, QuarantineTable } from './createQuarantineTable.js'
import type { SoundParts } from './createSoundParts.js'
import { MINIMUM_ENDS, selectCulprits, type SuspiciousEnd } from '../../../decisions/selectCulprits/index.js'
import type { Clock, Logger, Member, PeerTransport, PromptPartKey, RandomSource, RequestCounts } from '../../../types/index.js'

export type EndExaminer = {
  /** Examines the ends of the service now, or once the examination under way is over. */
  readonly examine: (service: string) => Promise<void>
}

export type EndExaminerDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly random: Pick<RandomSource, 'next'>
  readonly logger: Pick<Logger, 'info'>
  readonly transport: Pick<PeerTransport, 'request'>
  readonly listPeers: () => readonly Member[]
  readonly sound: Pick<SoundParts, 'record' | 'readAt' | 'readCounts'>
  readonly endRecord: Pick<EndRecord, 'list'>
  readonly table: Pick<QuarantineTable, 'find' | 'list'>
  /** The part is probably to blame for these ends. */
  readonly onCulprit: (key: PromptPartKey, ends: readonly SuspiciousEnd[]) => void
  /** Another part explains the ends for which this one was quarantined. */
  readonly onExplained: (entry: QuarantineEntry) => void
}

/** Peers that a holder asks: in a large fleet a part that is in use was answered by some of them. */
const ASKED_PEERS = 32
/** A part under which this many servers ended explains their ends, and acquits the other parts that ran there. */
const CONFIRMED_ENDS = 3

/** Creates the examiner of one node. */
export const createEndExaminer = ({ clock, random, logger, transport, listPeers, sound, endRecord, table, onCulprit, onExplained }: EndExaminerDependencies): EndExaminer => {
  /** Services whose ends are being examined. */
  const examined = new Map<string, 'once' | 'again'>()

  const listEnds = (service: string): readonly SuspiciousEnd[] =>
    endRecord.list(service, (part) => table.find({ service, part }) === undefined ? sound.readAt({ service, part }) : Infinity)

  /** Servers whose end a part explains that is known to end more of them than `ends`. */
  const listExplained = (service: string, ends = 0): ReadonlySet<string> => {
    const confirmed = table.list().filter((entry) => entry.service === service && entry.servers.length >= CONFIRMED_ENDS && entry.servers.length > ends)
    return new Set(confirmed.flatMap(({ servers }) => servers))
  }

  /** Parts at the same servers as one that ended more of them: too few ends are left that speak against them. */
  const reportExplained = (service: string): void => {
    for (const entry of table.list().filter((one) => one.service === service)) {
      const explained = listExplained(service, entry.servers.length)
      if (explained.size > 0 && entry.servers.filter((server) => !explained.has(server)).length < MINIMUM_ENDS) onExplained(entry)
    }
  }

  const selectAskedPeers = (): readonly Member[] =>
    listPeers().map((peer) => ({ peer, order: random.next() })).sort((left, right) => left.order - right.order).slice(0, ASKED_PEERS).map(({ peer }) => peer)

  /** Parts that are at several ends, whatever the chance of that. */
  const listConcerned = (service: string): readonly string[] => {
    const counts = new Map<string, number>()
    for (const { parts } of listEnds(service)) for (const part of parts) counts.set(part, (counts.get(part) ?? 0) + 1)
    return [...counts].filter(([, count]) => count >= MINIMUM_ENDS).map(([part]) => part)
  }

  const countRequests = (service: string, ofPeers: RequestCounts): RequestCounts => {
    const own = sound.readCounts(service)
    return { complete: own.complete + ofPeers.complete, broken: own.broken + ofPeers.broken }
  }

  const examineOnce = async (service: string): Promise<void> => {
    reportExplained(service)
    const parts = listConcerned(service)
    if (parts.length === 0) return
    const peers = selectAskedPeers()
    const { soundAt, counts: ofPeers, replies } = await askForSoundParts(transport, clock, peers, { service, parts })
    for (const [index, part] of parts.entries()) sound.record({ service, part }, soundAt[index] ?? -Infinity)
    const counts = countRequests(service, ofPeers)
    const ends = listEnds(service)
    const culprits = selectCulprits(ends, { explained: listExplained(service), counts })
    logger.info('prompt parts suspected', { service, concerned: parts.length, askedPeers: peers.length, replies, ...counts, culprits: culprits.join(' ') })
    for (const part of culprits) onCulprit({ service, part }, ends)
    reportExplained(service)
  }

  return {
    examine: async (service) => {
      if (examined.has(service)) {
        examined.set(service, 'again')
        return
      }
      do {
        examined.set(service, 'once')
        await examineOnce(service)
      } while (examined.get(service) === 'again')
      examined.delete(service)
    }
  }
}
