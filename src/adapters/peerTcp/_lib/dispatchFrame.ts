/**
 * Handles a message on the listening side: runs the handler of its kind, and
 * replies if the sender waits for a reply.
 */
import type { PeerMessage, PeerReply } from '../../../types/index.js'

export type PeerHandler = (message: PeerMessage) => PeerReply | Promise<PeerReply>

export type PeerHandlers = Map<string, PeerHandler>

export type ReplyFrame = { readonly id: number, readonly reply?: PeerReply, readonly problem?: string }

type RequestFrame = { readonly id?: unknown, readonly message?: { readonly kind?: unknown } }

export type FrameListener = {
  /** Called once when the frame has an id. */
  readonly respond: (reply: ReplyFrame, kind: string) => void
  /** Called when the handler throws. */
  readonly onThrown: (kind: string, reason: string) => void
}

/** Runs the handler. Never throws. */
export const dispatchFrame = async (handlers: PeerHandlers, frame: unknown, { respond, onThrown }: FrameListener): Promise<void> => {
  const { id, message } = frame as RequestFrame
  const kind = typeof message?.kind === 'string' ? message.kind : 'unknown'
  const answer = await runHandler(handlers.get(kind), message as PeerMessage, (reason) => onThrown(kind, reason))
  if (typeof id !== 'number') return
  respond({ id, ...answer }, `${kind}Reply`)
}

const runHandler = async (handler: PeerHandler | undefined, message: PeerMessage, onThrown: (reason: string) => void): Promise<Omit<ReplyFrame, 'id'>> => {
  if (handler === undefined) return { problem: 'no handler for this kind of message' }
  try {
    return { reply: await handler(message) }
  } catch (error) {
    const problem = error instanceof Error ? error.message : 'the handler failed'
    onThrown(problem)
    return { problem }
  }
}
