/** A node's link to one backend server, which can be cut in the ways in which networks lose links. */
import { createFaultProxy } from './createFaultProxy.js'
import { createGate } from './createGate.js'

/** What happens to the connections of a cut link. */
export type LinkCut =
  /** Open and new connections hang. */
  | 'hang'
  /** Open connections are reset, new ones hang. */
  | 'reset'
  /** Open connections live on, new ones are refused. */
  | 'refuseNew'
  /** What the server sends is lost, so that new connections hang as well. */
  | 'oneWay'

export const LINK_CUTS: readonly LinkCut[] = ['hang', 'reset', 'refuseNew', 'oneWay']

export type ServerLink = {
  readonly port: number
  readonly cut: (how: LinkCut) => Promise<void>
  readonly heal: () => Promise<void>
  /** Holds back what is sent on open connections, as a server that is silent for a while does; new connections open. */
  readonly silence: () => void
  /** Passes on what a silence held back; a cut stays. */
  readonly endSilence: () => void
  readonly close: () => Promise<void>
}

/** Opens the link to a server's port. */
export const createServerLink = async (serverPort: number): Promise<ServerLink> => {
  const proxy = await createFaultProxy(serverPort)
  const gate = await createGate(proxy.port)

  let isCut = false

  const cuts: Readonly<Record<LinkCut, () => Promise<void>>> = {
    hang: async () => {
      proxy.setFault({ kind: 'blackhole' })
      await gate.hang()
    },
    reset: async () => {
      await gate.hang()
      proxy.resetAll()
    },
    refuseNew: () => gate.refuse(),
    oneWay: async () => {
      proxy.setFault({ kind: 'holdDirection', direction: 'toClient' })
      await gate.hang()
    }
  }

  return {
    port: gate.port,
    cut: (how) => {
      isCut = true
      return cuts[how]()
    },
    heal: async () => {
      isCut = false
      proxy.setFault({ kind: 'none' })
      await gate.open()
    },
    silence: () => { if (!isCut) proxy.setFault({ kind: 'blackhole' }) },
    endSilence: () => { if (!isCut) proxy.setFault({ kind: 'none' }) },
    close: async () => {
      await gate.close()
      await proxy.close()
    }
  }
}
