/** The known backend servers in the groups whose load is summed together, with their hashes, worked out once per change of the list. */
import { groupBy } from '../../../kernel/groupBy/index.js'
import { hashText } from '../../../hashing/index.js'

export type NamedServer = { readonly name: string, readonly availabilityZone: string }

export type HashedServer = NamedServer & { readonly hash: number }

export type ServerIndex = {
  /** By availability zone; in a single group without a name where the servers are few. */
  readonly groups: () => ReadonlyMap<string, readonly HashedServer[]>
  readonly size: () => number
}

/** So many servers' counts fit one packet: a message for each zone would only wake the receivers more often. */
const SERVERS_OF_ONE_GROUP = 256
const ONLY_GROUP = ''

/**
 * Creates the index.
 *
 * @param readServers - The list; another array whenever it changes.
 * @returns The index of the servers.
 */
export const createServerIndex = (readServers: () => readonly NamedServer[]): ServerIndex => {
  let hashes: ReadonlyMap<string, number> = new Map()
  let indexed: readonly NamedServer[] | undefined
  let groups: ReadonlyMap<string, readonly HashedServer[]> = new Map()

  const update = (servers: readonly NamedServer[]): void => {
    const hashed = servers.map(({ name, availabilityZone }) => ({ name, availabilityZone, hash: hashes.get(name) ?? hashText(name) }))
    hashes = new Map(hashed.map(({ name, hash }) => [name, hash]))
    groups = groupBy(hashed, (server) => hashed.length <= SERVERS_OF_ONE_GROUP ? ONLY_GROUP : server.availabilityZone)
    indexed = servers
  }

  return {
    groups: () => {
      const servers = readServers()
      if (servers !== indexed) update(servers)
      return groups
    },
    size: () => readServers().length
  }
}
