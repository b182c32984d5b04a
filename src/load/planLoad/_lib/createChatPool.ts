/** Chats that pause between their turns. */
import type { ChatMessage } from '../../../emulator/composeAnswer/index.js'

export type Chat = {
  readonly chatId: string
  readonly account: number
  /** The last turn that was sent; 0 for none. */
  readonly turn: number
  readonly messages: readonly ChatMessage[]
}

export type ChatPool = {
  /** Lets a chat pause until `dueAt`. */
  readonly add: (chat: Chat, dueAt: number) => void
  /** Takes out the chat that has been due for longest, when one is due. */
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

// The list runs from the latest to the earliest, so that the end is taken.
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
