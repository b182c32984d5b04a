/**
 * Lets streams that may be resumed wait for a moment while no software version of their
 * service is registered. The moment is counted from when that began, so that a register
 * which can't be written for long holds no request up: it is refused at once.
 */
import type { BackendInstance, Clock } from '../../../types/index.js'

export type BeginWaits = {
  /** The list has changed. */
  readonly update: () => void
  /** Resolves once a stream of the service can begin, or after a moment; `undefined` when there is nothing to wait for. */
  readonly wait: (service: string) => Promise<void> | undefined
}

export type BeginWaitsDependencies = {
  readonly clock: Pick<Clock, 'now' | 'setTimer'>
  readonly listInstances: () => readonly BackendInstance[]
}

/** Longer than a slow store takes for a read and a write, in milliseconds. */
const MAXIMUM_WAIT_MS = 1_500

type Block = { readonly since: number, readonly ended: Promise<void>, readonly end: () => void }

/** Creates the waits. */
export const createBeginWaits = ({ clock, listInstances }: BeginWaitsDependencies): BeginWaits => {
  const blocks = new Map<string, Block>()

  const block = (service: string): void => {
    if (blocks.has(service)) return
    let end = (): void => {}
    const ended = new Promise<void>((resolve) => { end = resolve })
    blocks.set(service, { since: clock.now(), ended, end })
  }

  const unblock = (service: string): void => {
    blocks.get(service)?.end()
    blocks.delete(service)
  }

  return {
    update: () => {
      const all = listInstances().filter(({ isLeaving }) => !isLeaving)
      const open = new Set(all.filter(({ isUnregistered }) => isUnregistered !== true).map(({ service }) => service))
      const listed = new Set(all.map(({ service }) => service))
      for (const service of blocks.keys()) if (open.has(service) || !listed.has(service)) unblock(service)
      for (const service of listed) if (!open.has(service)) block(service)
    },
    wait: (service) => {
      const blocked = blocks.get(service)
      const leftMs = blocked === undefined ? 0 : blocked.since + MAXIMUM_WAIT_MS - clock.now()
      if (blocked === undefined || leftMs <= 0) return undefined
      return new Promise((resolve) => {
        const timer = clock.setTimer(leftMs, resolve)
        blocked.ended.then(() => {
          timer.cancel()
          resolve()
        })
      })
    }
  }
}
