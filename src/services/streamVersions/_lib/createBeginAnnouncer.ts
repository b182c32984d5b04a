/** Tells the holders of streams at which software versions these began, in batches. */
import type { Clock, Member, PeerTransport, StreamBegin, Timer } from '../../../types/index.js'

export type BeginAnnouncer = {
  readonly tell: (service: string, begins: readonly StreamBegin[]) => void
  readonly stop: () => void
}

export type BeginAnnouncerDependencies = {
  readonly clock: Pick<Clock, 'setTimer'>
  readonly transport: Pick<PeerTransport, 'send'>
  readonly listHolders: (requestId: string) => readonly Member[]
}

/** Milliseconds for which streams that begin are collected into one message; much less than an engine takes to its first event. */
const BATCH_MS = 20
/** Some 40 kB. */
const MAXIMUM_BEGINS_PER_MESSAGE = 1_000

/** Creates the announcer. */
export const createBeginAnnouncer = ({ clock, transport, listHolders }: BeginAnnouncerDependencies): BeginAnnouncer => {
  const untold = new Map<string, StreamBegin[]>()
  let timer: Timer | undefined

  const send = (holder: Member, service: string, begins: readonly StreamBegin[]): void => {
    for (let start = 0; start < begins.length; start += MAXIMUM_BEGINS_PER_MESSAGE) {
      transport.send(holder.address, { kind: 'streamBegins', service, begins: begins.slice(start, start + MAXIMUM_BEGINS_PER_MESSAGE) })
    }
  }

  const flushService = (service: string, begins: readonly StreamBegin[]): void => {
    const byHolder = new Map<Member, StreamBegin[]>()
    for (const begin of begins) {
      for (const holder of listHolders(begin.requestId)) byHolder.set(holder, [...byHolder.get(holder) ?? [], begin])
    }
    for (const [holder, ofHolder] of byHolder) send(holder, service, ofHolder)
  }

  const flush = (): void => {
    timer = undefined
    for (const [service, begins] of untold) flushService(service, begins)
    untold.clear()
  }

  return {
    tell: (service, begins) => {
      const waiting = untold.get(service) ?? []
      waiting.push(...begins)
      untold.set(service, waiting)
      timer ??= clock.setTimer(BATCH_MS, flush)
    },
    stop: () => timer?.cancel()
  }
}
