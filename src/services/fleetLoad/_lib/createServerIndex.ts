/** The known backend servers by availability zone, with their hashes, worked out once per change of the list. */
import { groupBy } from '../../../kernel/groupBy/index.js'
import { hashText } from '../../../hashing/index.js'

export type NamedServer = { readonly name: string, readonly availabilityZone: string }

export type HashedServer = NamedServer & { readonly hash: number }

export type ServerIndex = {
  readonly byZone: () => ReadonlyMap<string, readonly HashedServer[]>
  readonly size: () => number
}

/**
 * Creates the index.
 *
 * @param readServers - The list; another array whenever it changes.
 * @returns The servers by availability zone.
 */
export const createServerIndex = (readServers: () => readonly NamedServer[]): ServerIndex => {
  let hashes: ReadonlyMap<string, number> = new Map()
  let indexed: readonly NamedServer[] | undefined
  let zones: ReadonlyMap<string, readonly HashedServer[]> = new Map()

  const update = (servers: readonly NamedServer[]): void => {
    const hashed = servers.map(({ name, availabilityZone }) => ({ name, availabilityZone, hash: hashes.get(name) ?? hashText(name) }))
    hashes = new Map(hashed.map(({ name, hash }) => [name, hash]))
    zones = groupBy(hashed, (server) => server.availabilityZone)
    indexed = servers
  }

  return {
    byZone: () => {
      const servers = readServers()
      if (servers !== indexed) update(servers)
      return zones
    },
    size: () => readServers().length
  }
}
