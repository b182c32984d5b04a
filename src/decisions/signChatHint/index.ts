/**
 * Signs chat hints. A hint is sent with each response of a chat and returned with
 * its next request. It names the backend server that served the chat, with a message
 * authentication code over the client account, the chat and the server.
 */

/** Computes and verifies message authentication codes with the fleet's key. */
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
 * Builds the message that the code authenticates. Parts are encoded as JSON, so that
 * different hints give different messages.
 *
 * @param hint - The hint to encode.
 * @returns The message to authenticate.
 *
 * @example
 * describeChatHint({ clientAccount: 'a', chatKey: 'c', backendServer: 's' }) // => '["v1","a","c","s"]'
 */
export const describeChatHint = (hint: ChatHint): string =>
  JSON.stringify([HINT_VERSION, hint.clientAccount, hint.chatKey, hint.backendServer])

/**
 * Encodes and signs a hint for the caller.
 *
 * @param hint - The chat and the backend server that served it.
 * @param authenticator - Computes the code.
 * @returns `v1.<base64url of the server's name>.<code>`, which is valid in a header and in a cookie.
 *
 * @example
 * signChatHint({ clientAccount: 'a', chatKey: 'c', backendServer: 's' }, authenticator) // => 'v1.cw.Zm9v...'
 */
export const signChatHint = (hint: ChatHint, authenticator: MessageAuthenticator): string => {
  const name = Buffer.from(hint.backendServer, 'utf8').toString('base64url')
  return `${HINT_VERSION}.${name}.${authenticator.sign(describeChatHint(hint))}`
}
