/** Pool of the chats that wait for their next turn, ordered by its due time. */
import type { ChatMessage } from '../../../emulator/composeAnswer/index.js'

export type Chat = {
  readonly chatId: string
  readonly account: number
  /** Number of the last turn that was sent; 0 before the first. */
  readonly turn: number
  readonly messages: readonly ChatMessage[]
}

export type ChatPool = {
  /** Adds a chat whose next turn is due at `dueAt`. */
  readonly add: (chat: Chat, dueAt: number) => void
  /** Removes and returns the chat that has been due for longest, or `undefined` when none is due. */
  readonly takeDue: (now: number) => Chat | undefined
}

type PausedChat = { readonly chat: Chat, readonly dueAt: number }

/**
 * Creates an empty pool.
 *
 * @returns The pool.
 *
 * @example
 * createChatPool().takeDue(0) // => undefined
 */
export const createChatPool = (): ChatPool => {
  const paused: PausedChat[] = []
  return {
    add: (chat, dueAt) => {
      paused.splice(findPlace(paused, dueAt), 0, { chat, dueAt })
    },
    takeDue: (now) => {
      const earliest = paused.at(-1)
      if (earliest === undefined || earliest.dueAt > now) return undefined
      return paused.pop()!.chat
    }
  }
}

// The list is sorted from the latest to the earliest due time, so that the earliest is removed from its end.
const findPlace = (paused: readonly PausedChat[], dueAt: number): number => {
  let low = 0
  let high = paused.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (paused[middle]!.dueAt > dueAt) low = middle + 1
    else high = middle
  }
  return low
}
