/** Groups the known backend servers for load aggregation and hashes their names; recomputed only when the list changes. */
import { groupBy } from '../../../kernel/groupBy/index.js'
import { hashText } from '../../../hashing/index.js'

export type NamedServer = { readonly name: string, readonly availabilityZone: string }

export type HashedServer = NamedServer & { readonly hash: number }

export type ServerIndex = {
  /** Groups by availability zone; a single group with an empty name when there are few servers. */
  readonly groups: () => ReadonlyMap<string, readonly HashedServer[]>
  /** Name of the first group; the same on all nodes with the same servers. */
  readonly firstGroup: () => string
  readonly size: () => number
}

/** The counts of this many servers fit one packet, so a message for each zone would only cause more wake-ups at the receivers. */
const MAXIMUM_SERVERS_IN_SINGLE_GROUP = 256
const SINGLE_GROUP_NAME = ''

/**
 * Creates the index of backend servers.
 *
 * @param readServers - Returns the list of servers; a new array whenever it changes.
 * @returns The index of the servers.
 */
export const createServerIndex = (readServers: () => readonly NamedServer[]): ServerIndex => {
  let hashes: ReadonlyMap<string, number> = new Map()
  let indexed: readonly NamedServer[] | undefined
  let groups: ReadonlyMap<string, readonly HashedServer[]> = new Map()
  let firstGroup = SINGLE_GROUP_NAME

  const update = (servers: readonly NamedServer[]): void => {
    const hashed = servers.map(({ name, availabilityZone }) => ({ name, availabilityZone, hash: hashes.get(name) ?? hashText(name) }))
    hashes = new Map(hashed.map(({ name, hash }) => [name, hash]))
    groups = groupBy(hashed, (server) => hashed.length <= MAXIMUM_SERVERS_IN_SINGLE_GROUP ? SINGLE_GROUP_NAME : server.availabilityZone)
    firstGroup = [...groups.keys()].sort()[0] ?? SINGLE_GROUP_NAME
    indexed = servers
  }

  const refresh = (): void => {
    const servers = readServers()
    if (servers !== indexed) update(servers)
  }

  return {
    groups: () => {
      refresh()
      return groups
    },
    firstGroup: () => {
      refresh()
      return firstGroup
    },
    size: () => readServers().length
  }
}
