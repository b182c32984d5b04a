/**
 * The hint that a chat's answer carries and its next request brings back: the
 * backend server that served it, with a message authentication code over the
 * client account, the chat and the server.
 */

/** Computes and checks message authentication codes under the fleet's key. */
export type MessageAuthenticator = {
  readonly sign: (message: string) => string
  /** Compares in constant time. */
  readonly verify: (message: string, code: string) => boolean
}

export type ChatHint = {
  readonly clientAccount: string
  readonly chatKey: string
  readonly backendServer: string
}

const HINT_VERSION = 'v1'

/**
 * The text that the code covers. Parts are joined as JSON, so that no two
 * hints share a text.
 *
 * @param hint - The hint to describe.
 * @returns The text to authenticate.
 *
 * @example
 * describeChatHint({ clientAccount: 'a', chatKey: 'c', backendServer: 's' }) // => '["v1","a","c","s"]'
 */
export const describeChatHint = (hint: ChatHint): string =>
  JSON.stringify([HINT_VERSION, hint.clientAccount, hint.chatKey, hint.backendServer])

/**
 * Writes a hint in the form that callers carry.
 *
 * @param hint - The chat and the backend server that served it.
 * @param authenticator - Computes the code.
 * @returns `v1.<base64url of the server's name>.<code>`, safe in a header and a cookie.
 *
 * @example
 * signChatHint({ clientAccount: 'a', chatKey: 'c', backendServer: 's' }, authenticator) // => 'v1.cw.Zm9v...'
 */
export const signChatHint = (hint: ChatHint, authenticator: MessageAuthenticator): string => {
  const name = Buffer.from(hint.backendServer, 'utf8').toString('base64url')
  return `${HINT_VERSION}.${name}.${authenticator.sign(describeChatHint(hint))}`
}
