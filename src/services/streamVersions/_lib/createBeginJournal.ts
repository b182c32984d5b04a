/**
 * Keeps in the platform's store at which software versions streams began, so that these can
 * be taken up after all processes of the fleet have ended. One node of each availability zone
 * writes for all of it, so that the number of calls grows with the zones and not with the
 * nodes.
 */
import { createBeginReader } from './createBeginReader.js'
import { createBeginWriter } from './createBeginWriter.js'
import { selectPlatformReaders } from '../../../decisions/selectPlatformReaders/index.js'
import type { Clock, Logger, Membership, PeerTransport, StreamBegin, StreamBeginStore, Timer } from '../../../types/index.js'

export type BeginJournal = {
  /** Keeps the begins of streams of a service; those told last count. */
  readonly tell: (service: string, begins: readonly StreamBegin[]) => void
  /** Reads the version at which a stream began; `undefined` when the store has none, has several, or can't be read. */
  readonly find: (service: string, requestId: string) => Promise<string | undefined>
  readonly start: () => void
  readonly stop: () => void
}

export type BeginJournalDependencies = {
  readonly clock: Pick<Clock, 'now' | 'setTimer'>
  readonly logger: Pick<Logger, 'info' | 'warn'>
  readonly transport: Pick<PeerTransport, 'send' | 'handle'>
  readonly membership: Pick<Membership, 'members' | 'self'>
  readonly store: StreamBeginStore
}

export type BeginJournalOptions = {
  /** Time between two writes of a zone, in milliseconds; 200 by default. */
  readonly keepIntervalMs?: number
}

/** Time for which the begins of streams are collected into one message, in milliseconds. */
const BATCH_MS = 20
/** Some 40 kB. */
const MAXIMUM_BEGINS_PER_MESSAGE = 1_000
/** What is told later is lost when all processes end at once. */
const KEEP_INTERVAL_MS = 200

/** Creates the journal; it makes no call until it is told a begin or asked for one. */
export const createBeginJournal = ({ clock, logger, transport, membership, store }: BeginJournalDependencies, { keepIntervalMs = KEEP_INTERVAL_MS }: BeginJournalOptions = {}): BeginJournal => {
  const reader = createBeginReader({ clock, logger, store })
  const writer = createBeginWriter({ clock, logger, store, readZone: () => membership.self().availabilityZone }, { keepIntervalMs })
  /** By service and request. */
  const untold = new Map<string, Map<string, StreamBegin>>()
  let timer: Timer | undefined

  const pass = (service: string, begins: readonly StreamBegin[]): void => {
    const { nodeId, availabilityZone } = membership.self()
    const [keeper] = selectPlatformReaders(availabilityZone, membership.members()).own
    if (keeper === undefined || keeper.nodeId === nodeId) return writer.keep(service, begins)
    for (let start = 0; start < begins.length; start += MAXIMUM_BEGINS_PER_MESSAGE) {
      transport.send(keeper.address, { kind: 'streamBeginsToKeep', service, begins: begins.slice(start, start + MAXIMUM_BEGINS_PER_MESSAGE) })
    }
  }

  const flush = (): void => {
    timer = undefined
    for (const [service, begins] of untold) pass(service, [...begins.values()])
    untold.clear()
  }

  return {
    tell: (service, begins) => {
      const ofService = untold.get(service) ?? new Map<string, StreamBegin>()
      // Of two sends of one request the later one brings the first event.
      for (const begin of begins) ofService.set(begin.requestId, begin)
      untold.set(service, ofService)
      timer ??= clock.setTimer(BATCH_MS, flush)
    },
    find: reader.find,
    start: () => {
      transport.handle('streamBeginsToKeep', ({ service, begins }) => {
        writer.keep(service, begins)
        return { kind: 'none' }
      })
    },
    stop: () => {
      timer?.cancel()
      flush()
      reader.stop()
      writer.stop()
    }
  }
}
