/** Tells all peers which prompt parts are quarantined or released, in batches: one end of a server may concern many parts. */
import { formatPartKey } from './formatPartKey.js'
import type { QuarantineTable } from './createQuarantineTable.js'
import type { Clock, Member, PeerTransport, PromptPartKey, QuarantineNotice, Timer } from '../../../types/index.js'

export type NoticeBatch = {
  /** The part was quarantined or released, or more is known of its quarantine. */
  readonly add: (key: PromptPartKey) => void
  /** Tells one node everything that is quarantined, at once. */
  readonly sendAllTo: (receiver: Member) => void
  readonly stop: () => void
}

export type NoticeBatchDependencies = {
  readonly clock: Pick<Clock, 'now' | 'setTimer'>
  readonly transport: Pick<PeerTransport, 'send'>
  readonly table: Pick<QuarantineTable, 'find' | 'list'>
  readonly listPeers: () => readonly Member[]
  readonly readNodeId: () => string
}

/** Much less than a request takes to reach a server and run there. */
const BATCH_MS = 5

/** Creates the batch, empty. */
export const createNoticeBatch = ({ clock, transport, table, listPeers, readNodeId }: NoticeBatchDependencies): NoticeBatch => {
  const changed = new Map<string, PromptPartKey>()
  let timer: Timer | undefined

  const toNotice = (key: PromptPartKey): readonly QuarantineNotice[] => {
    const entry = table.find(key)
    if (entry === undefined) return []
    const { service, part, servers, endsAtFirst, trials, lastEndAt } = entry
    return [{ service, part, servers, endsAtFirst, trials, lastEndAgeMs: clock.now() - lastEndAt }]
  }

  const sendTo = (receivers: readonly Member[], quarantined: readonly QuarantineNotice[], released: readonly PromptPartKey[]): void => {
    const source = readNodeId()
    for (const { address } of receivers) {
      if (quarantined.length > 0) transport.send(address, { kind: 'quarantinedParts', source, parts: quarantined })
      if (released.length > 0) transport.send(address, { kind: 'releasedParts', parts: released })
    }
  }

  const flush = (): void => {
    timer = undefined
    const keys = [...changed.values()]
    changed.clear()
    sendTo(listPeers(), keys.flatMap(toNotice), keys.filter((key) => table.find(key) === undefined))
  }

  const add = ({ service, part }: PromptPartKey): void => {
    changed.set(formatPartKey({ service, part }), { service, part })
    timer ??= clock.setTimer(BATCH_MS, flush)
  }

  return {
    add,
    sendAllTo: (receiver) => sendTo([receiver], table.list().flatMap(toNotice), []),
    stop: () => timer?.cancel()
  }
}
