/** The reading side of the chat hint; `signChatHint` writes it. */
import { describeChatHint, type MessageAuthenticator } from '../signChatHint/index.js'

const HINT_PATTERN = /^v1\.([A-Za-z0-9_-]{1,400})\.([A-Za-z0-9_-]{1,100})$/

/**
 * Reads the backend server out of a hint that this fleet made for this chat.
 *
 * A forged hint, or one of another account or chat, fails the code and is
 * ignored, so it can neither steer a request nor tell whether a server exists.
 * A stale one names a server that placement no longer offers, which it ignores.
 *
 * @param text - The hint as the caller sent it.
 * @param clientAccount - The account that the caller proved to be.
 * @param chatKey - The key of the request's chat.
 * @param authenticator - Checks the code.
 * @returns The name of the backend server, or `undefined` when the hint is not genuine.
 *
 * @example
 * verifyChatHint('nonsense', 'a', 'c', authenticator) // => undefined
 */
export const verifyChatHint = (text: string, clientAccount: string, chatKey: string, authenticator: MessageAuthenticator): string | undefined => {
  const match = HINT_PATTERN.exec(text)
  if (match === null) return undefined
  const [, name = '', code = ''] = match
  const backendServer = Buffer.from(name, 'base64url').toString('utf8')
  const isGenuine = authenticator.verify(describeChatHint({ clientAccount, chatKey, backendServer }), code)
  return isGenuine ? backendServer : undefined
}
