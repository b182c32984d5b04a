/**
 * The chat directory: stores which backend server served a chat last. Each
 * entry is stored on one router, which is selected by rendezvous hashing over
 * the live members. The directory is only a hint for placement: a lost entry
 * costs a cache miss, never an answer.
 */
import { LRUCache } from 'lru-cache'
import { rankMembers } from '../../decisions/rankMembers/index.js'
import { hashText } from '../../hashing/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { ChatDirectory, Clock, Member, Membership, Metrics, PeerTransport, RouterSettings } from '../../types/index.js'

export type ChatDirectoryDependencies = {
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly membership: Pick<Membership, 'self' | 'liveMembers'>
  readonly metrics?: Metrics
}

export type ChatDirectoryOptions = {
  readonly settings: Pick<RouterSettings, 'directoryEntries' | 'directoryTtlMs' | 'peerTimeoutMs'>
}

const SECOND_SEED = 1
const SECOND_HASH_BITS = 21
const HASH_BITS = 32

const RADIX = 36

/** 53 hash bits, the precision of a number: a directory of 200,000 chats has a collision about once in 450,000 fills. */
const hashChatKey = (chatKey: string): number =>
  hashText(chatKey) * 2 ** SECOND_HASH_BITS + (hashText(chatKey, SECOND_SEED) >>> (HASH_BITS - SECOND_HASH_BITS))

/** Hash of a chat key in at most 11 characters; peers send it instead of the key, which may be long. */
const shortenChatKey = (chatKey: string): string => hashChatKey(chatKey).toString(RADIX)

const parseShortKey = (shortKey: string): number => Number.parseInt(shortKey, RADIX)

/**
 * Creates the chat directory of one node.
 *
 * An entry consists of the hash of the chat key and the index of the server
 * name, so that its size is independent of the length of both.
 *
 * @param dependencies - Clock, transport and membership.
 * @param options - Maximum number of entries, their lifetime and the time-out of a look-up in milliseconds.
 * @returns The service for the kernel; it answers peers once started.
 *
 * @example
 * const { api } = createChatDirectory({ clock, transport, membership }, { settings })
 * api.store('chat-1', 'engine-1')
 * await api.lookUp('chat-1') // => 'engine-1'
 */
export const createChatDirectory = (dependencies: ChatDirectoryDependencies, { settings }: ChatDirectoryOptions): RunningService<ChatDirectory> => {
  const { clock, transport, membership, metrics } = dependencies
  const serverNames: string[] = []
  const serverIndexes = new Map<string, number>()
  const entries = settings.directoryEntries === 0
    ? undefined
    : new LRUCache<number, number>({ max: settings.directoryEntries, ttl: settings.directoryTtlMs, ttlResolution: 0, perf: { now: () => clock.now() + 1 } })

  const findServerIndex = (backendServer: string): number => {
    const known = serverIndexes.get(backendServer)
    if (known !== undefined) return known
    const index = serverNames.push(backendServer) - 1
    serverIndexes.set(backendServer, index)
    return index
  }

  const storeLocally = (shortKey: string, backendServer: string): void => {
    entries?.set(parseShortKey(shortKey), findServerIndex(backendServer))
  }

  const lookUpLocally = (shortKey: string): string | undefined => {
    const index = entries?.get(parseShortKey(shortKey))
    return index === undefined ? undefined : serverNames[index]
  }

  const findOwner = (shortKey: string): Member => rankMembers(shortKey, membership.liveMembers())[0] ?? membership.self()

  const isSelf = (member: Member): boolean => member.nodeId === membership.self().nodeId

  const requestFromOwner = async (owner: Member, shortKey: string): Promise<string | undefined> => {
    const result = await transport.request(owner.address, { kind: 'directoryLookup', chatKey: shortKey }, settings.peerTimeoutMs)
    if (!result.ok) metrics?.count('directory_lookups', { outcome: result.error.kind })
    return result.ok && result.value.kind === 'directoryEntry' ? result.value.backendServer : undefined
  }

  return {
    api: {
      lookUp: async (chatKey) => {
        const shortKey = shortenChatKey(chatKey)
        const owner = findOwner(shortKey)
        const found = isSelf(owner) ? lookUpLocally(shortKey) : await requestFromOwner(owner, shortKey)
        metrics?.count('directory_lookups', { outcome: found === undefined ? 'miss' : 'hit' })
        return found
      },
      store: (chatKey, backendServer) => {
        const shortKey = shortenChatKey(chatKey)
        const owner = findOwner(shortKey)
        if (isSelf(owner)) return storeLocally(shortKey, backendServer)
        transport.send(owner.address, { kind: 'directoryStore', chatKey: shortKey, backendServer })
      }
    },
    start: () => {
      transport.handle('directoryStore', ({ chatKey, backendServer }) => {
        storeLocally(chatKey, backendServer)
        return { kind: 'none' }
      })
      transport.handle('directoryLookup', ({ chatKey }) => {
        const backendServer = lookUpLocally(chatKey)
        return backendServer === undefined ? { kind: 'directoryEntry' } : { kind: 'directoryEntry', backendServer }
      })
    }
  }
}
