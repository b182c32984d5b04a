/** Verifies chat hints that `signChatHint` made. */
import { describeChatHint, type MessageAuthenticator } from '../signChatHint/index.js'

const HINT_PATTERN = /^v1\.([A-Za-z0-9_-]{1,400})\.([A-Za-z0-9_-]{1,100})$/

/**
 * Verifies a hint and reads the backend server from it.
 *
 * A forged hint, or one of another account or chat, fails verification and is
 * ignored, so it can neither direct a request nor reveal whether a server exists.
 * A stale hint names a server that is no longer a candidate, and placement ignores it.
 *
 * @param text - The hint as the caller sent it.
 * @param clientAccount - The authenticated client account of the caller.
 * @param chatKey - The key of the request's chat.
 * @param authenticator - Verifies the code.
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
