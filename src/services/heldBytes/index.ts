/**
 * Counts the bytes that this node holds for its callers, and bounds them: bodies of requests,
 * answers that are buffered until they are complete, written bytes that callers have not
 * read, and what arrived of answers that are paused. What a connection has read is seen from what it still holds, on each write and on
 * a timer that runs only while a caller has unread bytes.
 */
import { boundHeldBytes, computeAllowance, computeBufferAllowance, hasRoomFor } from '../../decisions/boundHeldBytes/index.js'
import type { HeldConnection } from '../../decisions/boundHeldBytes/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, HeldBytes, HeldEnd, HeldEntry, HeldKind, HeldLimits, HeldRequest, Logger, Metrics, Timer } from '../../types/index.js'

export type HeldBytesDependencies = {
  readonly clock: Clock
  readonly logger: Pick<Logger, 'info' | 'warn'>
  readonly metrics: Pick<Metrics, 'count'>
}

/** How often unread bytes are looked at, in milliseconds: several times within the second after which a paused answer is read on. */
const CHECK_MS = 250

/** Share of the bound that is free at least when memory counts as free again. */
const FREE_SHARE = 0.08

type Entry = {
  readonly request: HeldRequest
  readonly bytes: Record<HeldKind, number>
  /** Monotonic milliseconds. */
  readAt: number
  pausedAt: number | undefined
  hasPaused: boolean
  resume: (() => void) | undefined
  readPausedBytes: () => number
  isClosed: boolean
}

/**
 * Creates the service.
 *
 * @param dependencies - Clock, log and metrics.
 * @param limits - The bound in bytes; `undefined` for none, then nothing is counted.
 * @returns The service for the kernel.
 *
 * @example
 * createHeldBytes(dependencies, undefined).api.open(request) // => undefined
 */
export const createHeldBytes = ({ clock, logger, metrics }: HeldBytesDependencies, limits: HeldLimits | undefined): RunningService<HeldBytes> => {
  const totals: Record<HeldKind, number> = { requestBody: 0, bufferedAnswer: 0, unreadAnswer: 0, pausedAnswer: 0 }
  /** Entries with unread bytes or a paused answer, by id. */
  const watched = new Map<number, Entry>()
  let pausedAnswers = 0
  let lastId = 0
  let timer: Timer | undefined
  let isScarce = false

  const sum = ({ requestBody, bufferedAnswer, unreadAnswer, pausedAnswer }: Readonly<Record<HeldKind, number>>): number => requestBody + bufferedAnswer + unreadAnswer + pausedAnswer

  const computeTotal = (): number => sum(totals)

  const setBytes = (entry: Entry, kind: HeldKind, bytes: number): void => {
    totals[kind] += bytes - entry.bytes[kind]
    entry.bytes[kind] = bytes
  }

  const setPaused = (entry: Entry, at: number | undefined): void => {
    pausedAnswers += Number(at !== undefined) - Number(entry.pausedAt !== undefined)
    entry.pausedAt = at
  }

  const refresh = (entry: Entry, writtenBytes: number): void => {
    const unread = entry.request.readUnreadBytes()
    if (unread < entry.bytes.unreadAnswer + writtenBytes || unread === 0) entry.readAt = clock.now()
    setBytes(entry, 'unreadAnswer', unread)
    setBytes(entry, 'pausedAnswer', entry.pausedAt === undefined ? 0 : entry.readPausedBytes())
  }

  const toConnection = ([id, { request, bytes, readAt, pausedAt }]: readonly [number, Entry], now: number): HeldConnection => ({
    id,
    unreadBytes: bytes.unreadAnswer,
    heldBytes: sum(bytes),
    unreadMs: now - readAt,
    maximumUnreadMs: request.maximumUnreadMs,
    pausedMs: pausedAt === undefined ? undefined : now - pausedAt
  })

  const goOn = (entry: Entry): void => {
    const { resume } = entry
    entry.resume = undefined
    setPaused(entry, undefined)
    setBytes(entry, 'pausedAnswer', 0)
    resume?.()
  }

  const end = (entry: Entry, reason: HeldEnd): void => {
    const { request, bytes } = entry
    metrics.count('gateway_answers_ended_unread', { reason })
    logger.warn('answer ended unread', { requestId: request.requestId, reason, unreadBytes: bytes.unreadAnswer, unreadMs: Math.round(clock.now() - entry.readAt), heldBytes: computeTotal() })
    request.end()
  }

  const apply = (bound: HeldLimits, entries: readonly (readonly [number, Entry])[]): void => {
    const now = clock.now()
    const decision = boundHeldBytes(bound, computeTotal(), entries.map((entry) => toConnection(entry, now)))
    for (const { id, reason } of decision.end) {
      const entry = watched.get(id)
      if (entry !== undefined) end(entry, reason)
    }
    for (const id of decision.resume) {
      const entry = watched.get(id)
      if (entry !== undefined) goOn(entry)
    }
  }

  const reportRoom = (bound: HeldLimits): void => {
    // Free again only with room for several requests: each small one would write a line otherwise.
    const isScarceNow = !hasRoomFor(bound, computeTotal(), isScarce ? FREE_SHARE * bound.totalBytes : 0)
    if (isScarceNow === isScarce) return
    isScarce = isScarceNow
    if (isScarce) logger.warn('memory for callers scarce', { ...totals, pausedAnswers, boundBytes: bound.totalBytes })
    else logger.info('memory for callers free again', { ...totals, pausedAnswers, boundBytes: bound.totalBytes })
  }

  const check = (bound: HeldLimits): void => {
    timer = undefined
    for (const entry of watched.values()) refresh(entry, 0)
    apply(bound, [...watched])
    for (const [id, entry] of watched) if (entry.bytes.unreadAnswer === 0 && entry.pausedAt === undefined) watched.delete(id)
    reportRoom(bound)
    watch(bound)
  }

  const watch = (bound: HeldLimits): void => {
    if (watched.size > 0) timer ??= clock.setTimer(CHECK_MS, () => check(bound))
  }

  const open = (bound: HeldLimits, request: HeldRequest): HeldEntry => {
    lastId += 1
    const id = lastId
    const entry: Entry = { request, bytes: { requestBody: 0, bufferedAnswer: 0, unreadAnswer: 0, pausedAnswer: 0 }, readAt: clock.now(), pausedAt: undefined, hasPaused: false, resume: undefined, readPausedBytes: () => 0, isClosed: false }
    return {
      recordBody: (bytes) => {
        const isRoom = hasRoomFor(bound, computeTotal(), bytes - entry.bytes.requestBody)
        if (isRoom && !entry.isClosed) setBytes(entry, 'requestBody', bytes)
        return isRoom
      },
      recordBuffered: (bytes) => { if (!entry.isClosed) setBytes(entry, 'bufferedAnswer', bytes) },
      recordWrite: (bytes) => {
        if (entry.isClosed) return true
        refresh(entry, bytes)
        if (entry.bytes.unreadAnswer === 0) return true
        watched.set(id, entry)
        watch(bound)
        reportRoom(bound)
        if (entry.bytes.unreadAnswer <= computeAllowance(bound, computeTotal())) return true
        if (!entry.hasPaused) metrics.count('gateway_answers_paused')
        entry.hasPaused = true
        setPaused(entry, entry.pausedAt ?? clock.now())
        return false
      },
      onResume: (listener, readPausedBytes) => {
        entry.resume = listener
        entry.readPausedBytes = readPausedBytes
      },
      readAllowance: () => computeBufferAllowance(bound, computeTotal() - entry.bytes.bufferedAnswer),
      recordRead: () => {
        if (entry.isClosed || !watched.has(id)) return
        refresh(entry, 0)
        apply(bound, [[id, entry]])
      },
      close: () => {
        if (entry.isClosed) return
        entry.isClosed = true
        for (const kind of Object.keys(totals) as HeldKind[]) setBytes(entry, kind, 0)
        setPaused(entry, undefined)
        watched.delete(id)
        reportRoom(bound)
      }
    }
  }

  return {
    api: {
      open: (request) => limits === undefined ? undefined : open(limits, request),
      hasRoomFor: (bodyBytes) => limits === undefined || hasRoomFor(limits, computeTotal(), bodyBytes),
      countBytes: () => ({ ...totals })
    },
    stop: () => timer?.cancel()
  }
}
