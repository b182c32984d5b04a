/**
 * Simulates requests of several nodes at servers that end under one prompt part, and for
 * other reasons: alone, together with others, or while nodes are killed, cut off from each
 * other and from the store. Counts what the quarantine lets through and what it refuses.
 */
import { createQuarantineFleet, SERVICE, type QuarantineFleet } from './createQuarantineFleet.js'

export type EndingServersDay = {
  readonly nodes: number
  readonly servers: number
  /** Requests a second with the part that ends servers; none with 0. */
  readonly harmfulPerSecond: number
  readonly soundPerSecond: number
  /** Ends a second for other reasons; a third of them are of several servers together. */
  readonly otherEndsPerSecond: number
  readonly durationMs: number
  /** Whether nodes are killed and cut off from each other, and the store is out of reach at times. */
  readonly hasTrouble: boolean
}

export type EndingServersResult = {
  readonly harmful: number
  /** Requests with the part that were sent later than `LEARNING_MS` after the fifth end under it. */
  readonly harmfulAfterFifth: number
  readonly sound: number
  /** Sound requests that were refused because of a part of their prompt. */
  readonly refused: number
}

type Server = { readonly id: string, readonly running: Set<Running> }

type Running = { readonly node: number, readonly run: number, readonly parts: readonly string[], isBroken: boolean, isSound: boolean }

const STEP_MS = 10
const LEARNING_MS = 3_000
const DOWN_MS = 2_000
/** Time from the end of a server until a node has concluded it. */
const CONCLUDED_MS = 35
const HARMFUL_PART = 'harmful'
const COMMON_PARTS = 4
/** Documents by popularity: the last ones are asked for seldom. */
const DOCUMENTS = 60
const LONGEST_ANSWER_MS = 2_500
/** Time from the send until the server begins to write. */
const BEGIN_MS = 80
const LONGEST_BEGIN_MS = 400
/** An answer that was written for this long is in order. */
const SOUND_MS = 500
/** Time before the first server ends. */
const CALM_MS = 5_000
const TROUBLE_PER_SECOND = 0.3
const TROUBLE_MS = 2_500

/** Plays one day; the same random numbers give the same day. */
export const simulateEndingServers = async (day: EndingServersDay, random: () => number): Promise<EndingServersResult> => {
  const fleet: QuarantineFleet = createQuarantineFleet(day.nodes, random)
  const { clock } = fleet
  const runs = Array.from({ length: day.nodes }, () => 0)
  let started = 0
  const createServer = (): Server => ({ id: `engine-${started++}`, running: new Set() })
  const servers = Array.from({ length: day.servers }, createServer)
  const endedUnderPart: number[] = []
  const counts = { harmful: 0, harmfulAfterFifth: 0, sound: 0, refused: 0 }

  const pick = <Value>(values: readonly Value[]): Value | undefined => values[Math.floor(random() * values.length)]
  const isDue = (perSecond: number): boolean => random() < perSecond * STEP_MS / 1_000

  const endServer = (server: Server): void => {
    const position = servers.indexOf(server)
    if (position === -1) return
    servers.splice(position, 1)
    const partsByNode = new Map<number, Set<string>>()
    for (const running of server.running) {
      running.isBroken = true
      if (running.run !== runs[running.node] || running.isSound) continue
      const parts = partsByNode.get(running.node) ?? new Set()
      partsByNode.set(running.node, parts)
      for (const part of running.parts) parts.add(part)
    }
    for (const [node, parts] of partsByNode) {
      const run = runs[node]
      clock.setTimer(CONCLUDED_MS, () => { if (run === runs[node]) fleet.nodes[node]!.reportEnd(server.id, [...parts]) })
    }
    clock.setTimer(DOWN_MS, () => { servers.push(createServer()) })
  }

  const run = (node: number, parts: readonly string[], isHarmful: boolean): void => {
    const server = pick(servers)
    if (server === undefined) return
    const running: Running = { node, run: runs[node]!, parts, isBroken: false, isSound: false }
    server.running.add(running)
    if (isHarmful) {
      counts.harmful += 1
      const fifthAt = endedUnderPart[4]
      if (fifthAt !== undefined && clock.now() > fifthAt + LEARNING_MS) counts.harmfulAfterFifth += 1
      clock.setTimer(BEGIN_MS, () => {
        if (running.isBroken) return
        endedUnderPart.push(clock.now())
        endServer(server)
      })
      return
    }
    const beginMs = BEGIN_MS + random() * (LONGEST_BEGIN_MS - BEGIN_MS)
    const durationMs = beginMs + random() * LONGEST_ANSWER_MS
    const recordSound = (): void => {
      if (running.isBroken || running.run !== runs[node]) return
      running.isSound = true
      fleet.nodes[node]!.api.recordSound(SERVICE, parts)
    }
    const recordComplete = (): void => {
      if (!running.isBroken && running.run === runs[node]) fleet.nodes[node]!.api.recordComplete(SERVICE, parts)
    }
    for (let afterMs = beginMs + SOUND_MS; afterMs < durationMs; afterMs += SOUND_MS) clock.setTimer(afterMs, recordSound)
    clock.setTimer(durationMs, () => {
      recordComplete()
      server.running.delete(running)
    })
  }

  const request = async (isHarmful: boolean): Promise<void> => {
    const node = Math.floor(random() * day.nodes)
    const document = isHarmful ? HARMFUL_PART : `document-${Math.floor(DOCUMENTS * random() ** 2)}`
    const parts = [`common-${Math.floor(random() * COMMON_PARTS)}`, document]
    if (!isHarmful) counts.sound += 1
    const { api } = fleet.nodes[node]!
    const { kind } = api.inspect(SERVICE, parts)
    if (kind === 'open' || (kind === 'trialDue' && await api.claimTrial(SERVICE, parts))) run(node, parts, isHarmful)
    else if (!isHarmful) counts.refused += 1
  }

  const troubles: readonly (() => void)[] = [
    () => {
      const node = Math.floor(random() * day.nodes)
      runs[node]! += 1
      fleet.restart(node)
    },
    () => {
      const zone = Math.floor(random() * 3)
      for (let one = 0; one < day.nodes; one++) for (let other = 0; other < one; other++) if ((one % 3 === zone) !== (other % 3 === zone)) fleet.cut(one, other)
      clock.setTimer(TROUBLE_MS, fleet.healAll)
    },
    () => {
      fleet.setStoreReachable(false)
      clock.setTimer(TROUBLE_MS, () => fleet.setStoreReachable(true))
    }
  ]

  for (let time = 0; time < day.durationMs; time += STEP_MS) {
    if (isDue(day.soundPerSecond)) request(false)
    if (time >= CALM_MS && isDue(day.harmfulPerSecond)) request(true)
    if (time >= CALM_MS && isDue(day.otherEndsPerSecond)) {
      const together = random() < 1 / 3 ? 1 + Math.floor(random() * servers.length / 2) : 1
      for (const server of servers.slice(0, together)) endServer(server)
    }
    if (day.hasTrouble && isDue(TROUBLE_PER_SECOND)) pick(troubles)?.()
    await clock.advanceAndSettle(STEP_MS)
  }
  return counts
}
